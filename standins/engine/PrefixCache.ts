import { promptHash } from "./promptHash.js";

const blockCharacters = 256;
const charactersPerToken = 4;
const maxEvents = 10_000;

interface CacheEvent {
    readonly sequence: number;
    readonly visibleAtMs: number;
    readonly kind: "stored" | "removed";
    readonly blockHash: number;
}

/** An LRU cache of prompt prefixes in fixed-size blocks. Its events are published with a delay, and some can be dropped. */
export class PrefixCache {
    private readonly blocks = new Set<number>();
    private readonly events: CacheEvent[] = [];
    private sequence = 0;

    constructor(private readonly options: { capacityTokens: number; eventDelayMs: number; lossPeriod: number; }) {}

    /** Returns the number of prompt tokens found in the cache, and stores the remaining blocks. */
    use(prompt: string): number {
        let cached = 0;
        let isPrefix = true;
        let hash = 0;
        for (let end = blockCharacters; end <= prompt.length; end += blockCharacters) {
            hash = promptHash(prompt.slice(end - blockCharacters, end), hash);
            isPrefix &&= this.blocks.delete(hash);
            cached += isPrefix ? blockCharacters / charactersPerToken : 0;
            this.store(hash, !isPrefix);
        }
        return cached;
    }

    /** Visible events with a sequence number above `sequence`. */
    eventsAfter(sequence: number): readonly Omit<CacheEvent, "visibleAtMs">[] {
        const nowMs = performance.now();
        return this.events
            .filter(event => event.sequence > sequence && event.visibleAtMs <= nowMs)
            .map(event => ({ sequence: event.sequence, kind: event.kind, blockHash: event.blockHash }));
    }

    private store(hash: number, isNew: boolean): void {
        this.blocks.add(hash);
        if (isNew) {
            this.publish("stored", hash);
        }
        const capacityBlocks = this.options.capacityTokens * charactersPerToken / blockCharacters;
        const oldest = this.blocks.values().next().value;
        if (this.blocks.size > capacityBlocks && oldest !== undefined) {
            this.blocks.delete(oldest);
            this.publish("removed", oldest);
        }
    }

    private publish(kind: "stored" | "removed", blockHash: number): void {
        this.sequence++;
        const isLost = this.options.lossPeriod > 0 && this.sequence % this.options.lossPeriod === 0;
        if (!isLost) {
            this.events.push({ sequence: this.sequence, visibleAtMs: performance.now() + this.options.eventDelayMs, kind, blockHash });
        }
        if (this.events.length > maxEvents) {
            this.events.splice(0, maxEvents / 2);
        }
    }
}
