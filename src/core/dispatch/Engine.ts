import type { ActiveGrant } from "./ActiveGrant.js";
import type { DispatchUpstream } from "./DispatchUpstream.js";

/** An engine with the grants that it currently runs and its batch and prefill counters. */
export class Engine {
    readonly running: ActiveGrant[] = [];
    private readonly countByTier: number[] = [];
    private readonly pendingPrefillTokensByPriority: number[] = [];
    private pendingPromptTokens = 0;
    private longCount = 0;
    private batchRequestMs = 0;
    private batchUpdatedAtMs = 0;
    private grantedPrefillTokens = 0;

    constructor(public upstream: DispatchUpstream) {}

    get inFlight(): number {
        return this.running.length;
    }

    /** Number of in-flight requests of this tier and all higher ones. */
    countInFlightUpTo(tier: number): number {
        let count = 0;
        for (let currentTier = 0; currentTier <= tier && currentTier < this.countByTier.length; currentTier++) {
            count += this.countByTier[currentTier] as number;
        }
        return count;
    }

    /** Number of requests in the running batch; the engine pauses those beyond its slots. */
    get batchSize(): number {
        return Math.min(this.inFlight, this.upstream.maxInFlight);
    }

    /** Whether a long request may take a slot; `shortSlotShare` of the slots is reserved for short ones. */
    hasSlotForLongRequest(shortSlotShare: number): boolean {
        return this.longCount < this.upstream.maxInFlight - Math.floor(this.upstream.maxInFlight * shortSlotShare);
    }

    /** Uncached prompt tokens that the engine has to prefill before a new request of this priority. */
    pendingPrefillTokensUpTo(priority: number): number {
        let tokens = 0;
        for (
            let currentPriority = 0;
            currentPriority <= priority && currentPriority < this.pendingPrefillTokensByPriority.length;
            currentPriority++
        ) {
            tokens += this.pendingPrefillTokensByPriority[currentPriority] as number;
        }
        return tokens;
    }

    /** Prompt tokens, cached or not, of all requests that have not produced a first token. */
    get maxPendingPrefillTokens(): number {
        return this.pendingPromptTokens;
    }

    /** Time integral of the batch size up to `nowMs`, in requests times ms. */
    batchRequestMsUntil(nowMs: number): number {
        return this.batchRequestMs + this.batchSize * (nowMs - this.batchUpdatedAtMs);
    }

    /** Total number of uncached prompt tokens granted to the engine. */
    get totalPrefillTokens(): number {
        return this.grantedPrefillTokens;
    }

    add(grant: ActiveGrant, nowMs: number): void {
        this.updateBatchRequestMs(nowMs);
        this.running.push(grant);
        this.updateCounts(grant, 1);
        if (grant.firstTokenMs === undefined) {
            this.grantedPrefillTokens += grant.uncachedTokens;
            this.updatePendingPrefill(grant, 1);
        }
        if (this.inFlight > this.upstream.maxInFlight) {
            this.markOversubscribed();
        }
    }

    /** Marks the streams that the engine may have paused because requests of their tier and above exceed its slots. */
    private markOversubscribed(): void {
        for (const grant of this.running) {
            grant.hasSeenOversubscription ||= this.countInFlightUpTo(grant.ticket.tier) > this.upstream.maxInFlight;
        }
    }

    /** Records the first token, which marks the end of the request's prefill. */
    recordFirstToken(grant: ActiveGrant, firstTokenMs: number, nowMs: number): void {
        this.updatePendingPrefill(grant, -1);
        grant.firstTokenMs = firstTokenMs;
        grant.firstTokenAtMs = nowMs;
        grant.batchRequestMsAtFirstToken = this.batchRequestMsUntil(nowMs);
        grant.totalPrefillTokensAtFirstToken = this.grantedPrefillTokens;
    }

    remove(grant: ActiveGrant, nowMs: number): void {
        const index = this.running.indexOf(grant);
        if (index < 0) {
            return;
        }
        this.updateBatchRequestMs(nowMs);
        this.running[index] = this.running[this.running.length - 1] as ActiveGrant;
        this.running.pop();
        this.updateCounts(grant, -1);
        if (grant.firstTokenMs === undefined) {
            this.updatePendingPrefill(grant, -1);
        }
    }

    private updateBatchRequestMs(nowMs: number): void {
        this.batchRequestMs = this.batchRequestMsUntil(nowMs);
        this.batchUpdatedAtMs = nowMs;
    }

    private updateCounts(grant: ActiveGrant, sign: 1 | -1): void {
        const { tier } = grant.ticket;
        while (this.countByTier.length <= tier) {
            this.countByTier.push(0);
        }
        this.countByTier[tier] = (this.countByTier[tier] as number) + sign;
        this.longCount += grant.isLong ? sign : 0;
    }

    private updatePendingPrefill(grant: ActiveGrant, sign: 1 | -1): void {
        while (this.pendingPrefillTokensByPriority.length <= grant.priority) {
            this.pendingPrefillTokensByPriority.push(0);
        }
        this.pendingPrefillTokensByPriority[grant.priority] = (this.pendingPrefillTokensByPriority[grant.priority] as number) +
            sign * grant.uncachedTokens;
        this.pendingPromptTokens += sign * grant.ticket.promptTokens;
    }
}
