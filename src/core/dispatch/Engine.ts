import type { ActiveGrant } from "./ActiveGrant.js";
import type { DispatchUpstream } from "./DispatchUpstream.js";

/** One engine and the exact work that it has been granted. */
export class Engine {
    readonly running: ActiveGrant[] = [];
    private readonly countByTier: number[] = [];
    private readonly unreadByPriority: number[] = [];
    private unreadAtMost = 0;
    private longCount = 0;
    private batchMs = 0;
    private batchSinceMs = 0;
    private readTokens = 0;

    constructor(public upstream: DispatchUpstream) {}

    get inFlight(): number {
        return this.running.length;
    }

    /** Work of this tier and those above it. */
    inFlightUpTo(tier: number): number {
        let count = 0;
        for (let above = 0; above <= tier && above < this.countByTier.length; above++) {
            count += this.countByTier[above] as number;
        }
        return count;
    }

    /** Requests that make up the batch; those beyond it are paused. */
    get batchSize(): number {
        return Math.min(this.inFlight, this.upstream.maxInFlight);
    }

    /** Long work beyond this many slots has to wait. */
    hasSlotForLongWork(shortSlotShare: number): boolean {
        return this.longCount < this.upstream.maxInFlight - Math.floor(this.upstream.maxInFlight * shortSlotShare);
    }

    /** Prompt tokens that the engine still has to read before those of a new request of this priority. */
    pendingPrefillTokensUpTo(priority: number): number {
        let tokens = 0;
        for (let above = 0; above <= priority && above < this.unreadByPriority.length; above++) {
            tokens += this.unreadByPriority[above] as number;
        }
        return tokens;
    }

    /** All prompt tokens of the requests whose first token was not seen, cached or not. */
    get maxPendingPrefillTokens(): number {
        return this.unreadAtMost;
    }

    /** Batch size summed over time, in requests times ms. */
    batchRequestMsUntil(nowMs: number): number {
        return this.batchMs + this.batchSize * (nowMs - this.batchSinceMs);
    }

    /** Uncached prompt tokens granted to it so far. */
    get totalPrefillTokens(): number {
        return this.readTokens;
    }

    add(grant: ActiveGrant, nowMs: number): void {
        this.closeInterval(nowMs);
        this.running.push(grant);
        this.count(grant, 1);
        if (grant.firstTokenMs === undefined) {
            this.readTokens += grant.uncachedTokens;
            this.countUnread(grant, 1);
        }
        if (this.inFlight > this.upstream.maxInFlight) {
            this.markCrowded();
        }
    }

    /** Streams that the engine may pause now, as those above them fill its slots. */
    private markCrowded(): void {
        for (const grant of this.running) {
            grant.hasSeenOversubscription ||= this.inFlightUpTo(grant.ticket.tier) > this.upstream.maxInFlight;
        }
    }

    /** The first token shows that the prompt has been read. */
    recordFirstToken(grant: ActiveGrant, firstTokenMs: number, nowMs: number): void {
        this.countUnread(grant, -1);
        grant.firstTokenMs = firstTokenMs;
        grant.firstTokenAtMs = nowMs;
        grant.batchRequestMsAtFirstToken = this.batchRequestMsUntil(nowMs);
        grant.totalPrefillTokensAtFirstToken = this.readTokens;
    }

    remove(grant: ActiveGrant, nowMs: number): void {
        const index = this.running.indexOf(grant);
        if (index < 0) {
            return;
        }
        this.closeInterval(nowMs);
        this.running[index] = this.running[this.running.length - 1] as ActiveGrant;
        this.running.pop();
        this.count(grant, -1);
        if (grant.firstTokenMs === undefined) {
            this.countUnread(grant, -1);
        }
    }

    private closeInterval(nowMs: number): void {
        this.batchMs = this.batchRequestMsUntil(nowMs);
        this.batchSinceMs = nowMs;
    }

    private count(grant: ActiveGrant, change: 1 | -1): void {
        const { tier } = grant.ticket;
        while (this.countByTier.length <= tier) {
            this.countByTier.push(0);
        }
        this.countByTier[tier] = (this.countByTier[tier] as number) + change;
        this.longCount += grant.isLong ? change : 0;
    }

    private countUnread(grant: ActiveGrant, sign: 1 | -1): void {
        while (this.unreadByPriority.length <= grant.priority) {
            this.unreadByPriority.push(0);
        }
        this.unreadByPriority[grant.priority] = (this.unreadByPriority[grant.priority] as number) + sign * grant.uncachedTokens;
        this.unreadAtMost += sign * grant.ticket.promptTokens;
    }
}
