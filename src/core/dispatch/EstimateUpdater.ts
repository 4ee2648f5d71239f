import type { GrantEnd } from "../../schema/peer/GrantEnd.js";
import type { EngineSpeedModel } from "../estimate/EngineSpeedModel.js";
import type { OutputLengthEstimator } from "../estimate/OutputLengthEstimator.js";
import type { PrefixCacheHints } from "../estimate/PrefixCacheHints.js";
import type { OutlierDetector } from "../health/OutlierDetector.js";
import type { ActiveGrant } from "./ActiveGrant.js";
import type { Engine } from "./Engine.js";

/** Prompt tokens that an engine is assumed to prefill in one step alongside decoding (chunked prefill). */
const assumedPrefillChunkTokens = 512;

/** Updates output length estimates, the speed model, prefix cache hints and outlier detection from the progress that entry VMs report. */
export class EstimateUpdater {
    constructor(
        private readonly lengthEstimator: OutputLengthEstimator,
        private readonly speedModel: EngineSpeedModel,
        private readonly prefixHints: PrefixCacheHints,
        private readonly outlierDetector: OutlierDetector,
    ) {}

    /** Learns from the time to first token. Returns false if it was ignored because the engine may have paused the stream. */
    observeFirstToken(engine: Engine, grant: ActiveGrant, firstTokenMs: number, nowMs: number): boolean {
        const worstCaseMs = this.worstCaseFirstTokenMs(engine, grant);
        engine.recordFirstToken(grant, firstTokenMs, nowMs);
        if (grant.hasSeenOversubscription) {
            return false;
        }
        const expectedMs = Math.min(
            Math.max(firstTokenMs, this.speedModel.firstTokenMs(grant.prefillTokens, grant.batchSize)),
            worstCaseMs,
        );
        this.outlierDetector.observeLatency(grant.upstreamId, firstTokenMs, expectedMs, nowMs);
        if (!this.outlierDetector.isSlow(grant.upstreamId, nowMs)) {
            this.learnCacheOutcome(grant, firstTokenMs);
        }
        return true;
    }

    /** Predicted time to first token if nothing was cached and all prompts granted since are prefilled first. */
    worstCaseFirstTokenMs(engine: Engine, grant: ActiveGrant): number {
        const prefillTokensSinceGrant = engine.totalPrefillTokens - grant.totalPrefillTokensAtFirstToken;
        return this.speedModel.firstTokenMs(grant.maxPrefillTokens + prefillTokensSinceGrant, Math.max(grant.batchSize, engine.batchSize));
    }

    /**
     * Learns whether the cached prefix was hit: a time to first token closer to that of a full prefill than to that of a cache hit shows that
     * the engine has evicted the blocks.
     */
    private learnCacheOutcome(grant: ActiveGrant, firstTokenMs: number): void {
        const cacheHitMs = this.speedModel.firstTokenMs(grant.prefillTokens, grant.batchSize);
        const cacheMissMs = this.speedModel.firstTokenMs(grant.maxPrefillTokens, grant.batchSize);
        if (firstTokenMs <= (cacheHitMs + cacheMissMs) / 2) {
            this.speedModel.observeFirstToken(grant.prefillTokens, grant.batchSize, firstTokenMs);
        }
        else {
            this.prefixHints.invalidate(grant.ticket.prefixHashes, grant.upstreamId);
            this.prefixHints.recordPrefix(grant.ticket.prefixHashes, grant.upstreamId, grant.lastSeenAtMs);
            this.speedModel.observeFirstToken(grant.maxPrefillTokens, grant.batchSize, firstTokenMs);
        }
    }

    /**
     * Feeds a stream's recent token gap to outlier detection. Returns false if it was ignored because the engine may have paused the
     * stream.
     */
    observeTokenGap(engine: Engine, grant: ActiveGrant, recentGapMs: number, nowMs: number): boolean {
        if (grant.hasSeenOversubscription) {
            return false;
        }
        const prefillMs = engine.pendingPrefillTokensUpTo(Infinity) > 0
            ? this.speedModel.gapMsPerPrefillToken * assumedPrefillChunkTokens
            : 0;
        this.outlierDetector.observeLatency(grant.upstreamId, recentGapMs, this.speedModel.gapMs(engine.batchSize) + prefillMs, nowMs);
        return true;
    }

    /** Learns from the end of a grant. `engine` is undefined if it is no longer part of the shard. */
    observeGrantEnd(engine: Engine | undefined, grant: ActiveGrant, end: GrantEnd, nowMs: number): void {
        if (end.result === "completed") {
            this.lengthEstimator.observe(grant.ticket, end.outputTokens);
            this.outlierDetector.recordSuccess(grant.upstreamId);
            this.learnTokenGap(engine, grant, end, nowMs);
        }
        if (end.result === "failed") {
            this.outlierDetector.recordFailure(grant.upstreamId);
            this.prefixHints.invalidate(grant.ticket.prefixHashes, grant.upstreamId);
        }
    }

    private learnTokenGap(engine: Engine | undefined, grant: ActiveGrant, end: GrantEnd, nowMs: number): void {
        const decodeMs = nowMs - grant.firstTokenAtMs;
        if (
            engine === undefined || end.meanTokenGapMs === undefined || grant.hasSeenOversubscription || grant.firstTokenMs === undefined ||
            decodeMs <= 0
        ) {
            return;
        }
        if (!this.outlierDetector.isSlow(grant.upstreamId, nowMs)) {
            const meanBatchSize = (engine.batchRequestMsUntil(nowMs) - grant.batchRequestMsAtFirstToken) / decodeMs;
            const prefillTokensPerOutputToken = (engine.totalPrefillTokens - grant.totalPrefillTokensAtFirstToken) /
                Math.max(1, end.outputTokens);
            this.speedModel.observeTokenGap(meanBatchSize, prefillTokensPerOutputToken, end.meanTokenGapMs);
        }
    }
}
