import type { DispatchUpstream } from "./DispatchUpstream.js";
import type { RunningGrant } from "./RunningGrant.js";

/** One engine and the exact work that it has been granted. */
export class Engine {
    readonly running = new Map<string, RunningGrant>();
    private longCount = 0;
    /** Prompt tokens granted and not yet read, as far as first tokens tell. */
    private unreadTokens = 0;

    constructor(public upstream: DispatchUpstream) {}

    get inFlight(): number {
        return this.running.size;
    }

    get pendingPrefillTokens(): number {
        return this.unreadTokens;
    }

    /** Slots that short work, or long work, may still take. */
    freeSlots(isLong: boolean, shortSlotShare: number): number {
        const free = this.upstream.maxInFlight - this.inFlight;
        if (!isLong) {
            return free;
        }
        const longSlots = this.upstream.maxInFlight - Math.floor(this.upstream.maxInFlight * shortSlotShare);
        return Math.min(free, longSlots - this.longCount);
    }

    add(grant: RunningGrant): void {
        this.running.set(grant.grantId, grant);
        this.longCount += grant.isLong ? 1 : 0;
        this.unreadTokens += grant.firstTokenMs === undefined ? grant.uncachedTokens : 0;
    }

    /** The first token shows that the prompt has been read. */
    noteFirstToken(grant: RunningGrant, firstTokenMs: number): void {
        if (grant.firstTokenMs === undefined) {
            this.unreadTokens = Math.max(0, this.unreadTokens - grant.uncachedTokens);
        }
        grant.firstTokenMs = firstTokenMs;
    }

    remove(grant: RunningGrant): void {
        if (!this.running.delete(grant.grantId)) {
            return;
        }
        this.longCount -= grant.isLong ? 1 : 0;
        if (grant.firstTokenMs === undefined) {
            this.unreadTokens = Math.max(0, this.unreadTokens - grant.uncachedTokens);
        }
    }
}
