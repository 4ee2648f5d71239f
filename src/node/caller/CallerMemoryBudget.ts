import { chooseMemoryVictim } from "../../core/relay/chooseMemoryVictim.js";
import type { MemoryHolder } from "./MemoryHolder.js";

/**
 * Memory that callers make this VM hold: heads and bodies of requests, and responses that have not been read. When the limit is exceeded,
 * `chooseMemoryVictim` decides which connection has to release memory.
 */
export class CallerMemoryBudget {
    private readonly holders = new Set<MemoryHolder>();
    private chargedBytes = 0;

    constructor(readonly limitBytes: number) {}

    get usedBytes(): number {
        return this.chargedBytes;
    }

    add(holder: MemoryHolder): void {
        this.holders.add(holder);
    }

    remove(holder: MemoryHolder): void {
        this.holders.delete(holder);
    }

    charge(bytes: number): void {
        this.chargedBytes += bytes;
        while (this.chargedBytes > this.limitBytes) {
            const victim = chooseMemoryVictim(this.holders);
            if (victim === undefined) {
                return;
            }
            victim.evict();
        }
    }

    release(bytes: number): void {
        this.chargedBytes -= bytes;
    }
}
