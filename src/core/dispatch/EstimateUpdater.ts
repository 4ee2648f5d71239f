import type { GrantEnd } from "../../schema/peer/GrantEnd.js";
import type { EngineSpeedModel } from "../estimate/EngineSpeedModel.js";
import type { OutputLengthEstimator } from "../estimate/OutputLengthEstimator.js";
import type { PrefixCacheHints } from "../estimate/PrefixCacheHints.js";
import type { OutlierDetector } from "../health/OutlierDetector.js";
import type { ActiveGrant } from "./ActiveGrant.js";
import type { Engine } from "./Engine.js";

/** Prompt tokens that an engine reads in one step beside its decoding. */
const assumedChunkTokens = 512;

/** Turns what entry VMs see of their streams into estimates of lengths and speeds, cache hints and the health of engines. */
export class EstimateUpdater {
    constructor(
        private readonly lengths: OutputLengthEstimator,
        private readonly speed: EngineSpeedModel,
        private readonly prefixes: PrefixCacheHints,
        private readonly health: OutlierDetector,
    ) {}

    /** Learns from a first token; false when it tells nothing, as the engine was crowded. */
    observeFirstToken(engine: Engine, grant: ActiveGrant, firstTokenMs: number, nowMs: number): boolean {
        const atMostMs = this.worstCaseFirstTokenMs(engine, grant);
        engine.recordFirstToken(grant, firstTokenMs, nowMs);
        if (grant.hasSeenOversubscription) {
            return false;
        }
        const expectedMs = Math.min(Math.max(firstTokenMs, this.speed.firstTokenMs(grant.prefillTokens, grant.batchSize)), atMostMs);
        this.health.observeLatency(grant.upstreamId, firstTokenMs, expectedMs, nowMs);
        if (!this.health.isSlow(grant.upstreamId, nowMs)) {
            this.learnCacheHit(grant, firstTokenMs);
        }
        return true;
    }

    /** When the first token is due if nothing was cached and all prompts granted since go ahead of it. */
    worstCaseFirstTokenMs(engine: Engine, grant: ActiveGrant): number {
        const grantedSince = engine.totalPrefillTokens - grant.totalPrefillTokensAtFirstToken;
        return this.speed.firstTokenMs(grant.maxPrefillTokens + grantedSince, Math.max(grant.batchSize, engine.batchSize));
    }

    /** A first token nearer to what reading the whole prompt takes shows that the engine no longer had the blocks. */
    private learnCacheHit(grant: ActiveGrant, firstTokenMs: number): void {
        const hitMs = this.speed.firstTokenMs(grant.prefillTokens, grant.batchSize);
        const missMs = this.speed.firstTokenMs(grant.maxPrefillTokens, grant.batchSize);
        if (firstTokenMs <= (hitMs + missMs) / 2) {
            this.speed.observeFirstToken(grant.prefillTokens, grant.batchSize, firstTokenMs);
        }
        else {
            this.prefixes.invalidate(grant.ticket.prefixHashes, grant.upstreamId);
            this.prefixes.recordPrefix(grant.ticket.prefixHashes, grant.upstreamId, grant.lastSeenAtMs);
            this.speed.observeFirstToken(grant.maxPrefillTokens, grant.batchSize, firstTokenMs);
        }
    }

    /** Judges the engine by a stream's gap between tokens now; false for a stream that may have been paused, which tells nothing. */
    observeTokenGap(engine: Engine, grant: ActiveGrant, recentGapMs: number, nowMs: number): boolean {
        if (grant.hasSeenOversubscription) {
            return false;
        }
        const readMs = engine.pendingPrefillTokensUpTo(Infinity) > 0 ? this.speed.gapMsPerPrefillToken * assumedChunkTokens : 0;
        this.health.observeLatency(grant.upstreamId, recentGapMs, this.speed.gapMs(engine.batchSize) + readMs, nowMs);
        return true;
    }

    /** Learns from the end of a grant. `engine` is undefined when it has left the shard. */
    observeGrantEnd(engine: Engine | undefined, grant: ActiveGrant, end: GrantEnd, nowMs: number): void {
        if (end.result === "completed") {
            this.lengths.observe(grant.ticket, end.outputTokens);
            this.health.recordSuccess(grant.upstreamId);
            this.learnGap(engine, grant, end, nowMs);
        }
        if (end.result === "failed") {
            this.health.recordFailure(grant.upstreamId);
            this.prefixes.invalidate(grant.ticket.prefixHashes, grant.upstreamId);
        }
    }

    private learnGap(engine: Engine | undefined, grant: ActiveGrant, end: GrantEnd, nowMs: number): void {
        const spanMs = nowMs - grant.firstTokenAtMs;
        if (
            engine === undefined || end.meanTokenGapMs === undefined || grant.hasSeenOversubscription || grant.firstTokenMs === undefined ||
            spanMs <= 0
        ) {
            return;
        }
        if (!this.health.isSlow(grant.upstreamId, nowMs)) {
            const meanBatchSize = (engine.batchRequestMsUntil(nowMs) - grant.batchRequestMsAtFirstToken) / spanMs;
            const readTokens = (engine.totalPrefillTokens - grant.totalPrefillTokensAtFirstToken) / Math.max(1, end.outputTokens);
            this.speed.observeTokenGap(meanBatchSize, readTokens, end.meanTokenGapMs);
        }
    }
}
