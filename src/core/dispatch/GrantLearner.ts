import type { GrantEnd } from "../../schema/peer/GrantEnd.js";
import type { EngineSpeedModel } from "../estimate/EngineSpeedModel.js";
import type { OutputLengthEstimator } from "../estimate/OutputLengthEstimator.js";
import type { PrefixCacheHints } from "../estimate/PrefixCacheHints.js";
import type { HealthBoard } from "../health/HealthBoard.js";
import type { Engine } from "./Engine.js";
import type { RunningGrant } from "./RunningGrant.js";

/** Prompt tokens that an engine reads in one step beside its decoding. */
const assumedChunkTokens = 512;

/** Turns what entry VMs see of their streams into estimates of lengths and speeds, cache hints and the health of engines. */
export class GrantLearner {
    constructor(
        private readonly lengths: OutputLengthEstimator,
        private readonly speed: EngineSpeedModel,
        private readonly prefixes: PrefixCacheHints,
        private readonly health: HealthBoard,
    ) {}

    /** Learns from a first token; false when it tells nothing, as the engine was crowded. */
    firstToken(engine: Engine, grant: RunningGrant, firstTokenMs: number, nowMs: number): boolean {
        const atMostMs = this.latestFirstTokenMs(engine, grant);
        engine.noteFirstToken(grant, firstTokenMs, nowMs);
        if (grant.wasCrowded) {
            return false;
        }
        const expectedMs = Math.min(Math.max(firstTokenMs, this.speed.firstTokenMs(grant.prefillTokens, grant.batchSize)), atMostMs);
        this.health.observe(grant.upstreamId, firstTokenMs, expectedMs, nowMs);
        if (!this.health.isSlow(grant.upstreamId, nowMs)) {
            this.learnCacheHit(grant, firstTokenMs);
        }
        return true;
    }

    /** When the first token is due if nothing was cached and all prompts granted since go ahead of it. */
    latestFirstTokenMs(engine: Engine, grant: RunningGrant): number {
        const grantedSince = engine.readTokensTotal - grant.readTokensAtFirstToken;
        return this.speed.firstTokenMs(grant.prefillTokensAtMost + grantedSince, Math.max(grant.batchSize, engine.batchSize));
    }

    /** A first token nearer to what reading the whole prompt takes shows that the engine no longer had the blocks. */
    private learnCacheHit(grant: RunningGrant, firstTokenMs: number): void {
        const hitMs = this.speed.firstTokenMs(grant.prefillTokens, grant.batchSize);
        const missMs = this.speed.firstTokenMs(grant.prefillTokensAtMost, grant.batchSize);
        if (firstTokenMs <= (hitMs + missMs) / 2) {
            this.speed.observeFirstToken(grant.prefillTokens, grant.batchSize, firstTokenMs);
        }
        else {
            this.prefixes.forget(grant.ticket.prefixHashes, grant.upstreamId);
            this.prefixes.note(grant.ticket.prefixHashes, grant.upstreamId, grant.lastSeenMs);
            this.speed.observeFirstToken(grant.prefillTokensAtMost, grant.batchSize, firstTokenMs);
        }
    }

    /** Judges the engine by a stream's gap between tokens now; false for a stream that may have been paused, which tells nothing. */
    gap(engine: Engine, grant: RunningGrant, recentGapMs: number, nowMs: number): boolean {
        if (grant.wasCrowded) {
            return false;
        }
        const readMs = engine.unreadTokensUpTo(Infinity) > 0 ? this.speed.readMsPerToken * assumedChunkTokens : 0;
        this.health.observe(grant.upstreamId, recentGapMs, this.speed.gapMs(engine.batchSize) + readMs, nowMs);
        return true;
    }

    /** Learns from the end of a grant. `engine` is undefined when it has left the shard. */
    ended(engine: Engine | undefined, grant: RunningGrant, end: GrantEnd, nowMs: number): void {
        if (end.result === "completed") {
            this.lengths.observe(grant.ticket, end.outputTokens);
            this.health.succeeded(grant.upstreamId);
            this.learnGap(engine, grant, end, nowMs);
        }
        if (end.result === "failed") {
            this.health.failed(grant.upstreamId);
            this.prefixes.forget(grant.ticket.prefixHashes, grant.upstreamId);
        }
    }

    private learnGap(engine: Engine | undefined, grant: RunningGrant, end: GrantEnd, nowMs: number): void {
        const spanMs = nowMs - grant.firstTokenAtMs;
        if (
            engine === undefined || end.meanTokenGapMs === undefined || grant.wasCrowded || grant.firstTokenMs === undefined || spanMs <= 0
        ) {
            return;
        }
        if (!this.health.isSlow(grant.upstreamId, nowMs)) {
            const meanBatchSize = (engine.batchMsUntil(nowMs) - grant.batchMsAtFirstToken) / spanMs;
            const readTokens = (engine.readTokensTotal - grant.readTokensAtFirstToken) / Math.max(1, end.outputTokens);
            this.speed.observeGap(meanBatchSize, readTokens, end.meanTokenGapMs);
        }
    }
}
