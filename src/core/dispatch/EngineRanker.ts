import type { EngineSpeedModel } from "../estimate/EngineSpeedModel.js";
import type { PrefixCacheHints } from "../estimate/PrefixCacheHints.js";
import type { OutlierDetector } from "../health/OutlierDetector.js";
import type { ActiveGrant } from "./ActiveGrant.js";
import type { DispatchOptions } from "./DispatchOptions.js";
import type { Engine } from "./Engine.js";
import type { EnginePrediction } from "./EnginePrediction.js";
import type { QueuedTicket } from "./QueuedTicket.js";

/** Weight of the delay to a higher-tier stream, relative to that of any other stream. */
const higherTierWeight = 4;
/** A slow engine is skipped if its predicted token gap exceeds the class target by more than this factor. */
const slowEngineGapTolerance = 1.2;
/** Random cost added to each prediction, so that load spreads over engines of nearly equal cost. */
const maxTieBreakMs = 1;

/** Number of predictions returned: the selected engine, and a few runners-up to explain the decision. */
const maxRankedEngines = 4;
const noPredictions: EnginePrediction[] = [];

/** Selects the engines that may accept a ticket now and ranks them by predicted finish time and interference with running requests. */
export class EngineRanker {
    /** `random` returns numbers in [0, 1). */
    constructor(
        private readonly options: DispatchOptions,
        private readonly speedModel: EngineSpeedModel,
        private readonly outlierDetector: OutlierDetector,
        private readonly prefixHints: PrefixCacheHints,
        private readonly random: () => number,
    ) {}

    /**
     * Returns the best engines that may accept the ticket, lowest cost first; empty if the ticket has to wait. `floorShare` is the share
     * of an engine's slots reserved for lower tiers while it runs requests of theirs. For a ticket under the floor of its class
     * (`isGuaranteed`) the token gap targets of more urgent streams are not checked.
     */
    rank(
        engines: readonly Engine[],
        queuedTicket: QueuedTicket,
        floorShare: number,
        isGuaranteed: boolean,
        nowMs: number,
    ): EnginePrediction[] {
        let best = noPredictions;
        for (const engine of engines) {
            if (this.hasSlot(engine, queuedTicket, floorShare) && this.isEligible(engine, queuedTicket, nowMs)) {
                const uncachedTokens = this.predictUncachedTokens(engine, queuedTicket, nowMs);
                if (isGuaranteed || this.canMeetGapTargets(engine, queuedTicket, uncachedTokens, nowMs)) {
                    best = best === noPredictions ? [] : best;
                    insertByCost(best, this.predict(engine, queuedTicket, uncachedTokens, nowMs));
                }
            }
        }
        return best;
    }

    private predictUncachedTokens(engine: Engine, { ticket }: QueuedTicket, nowMs: number): number {
        return Math.max(1, ticket.promptTokens - this.prefixHints.cachedTokens(ticket.prefixHashes, engine.upstream.id, nowMs));
    }

    private hasSlot(engine: Engine, queuedTicket: QueuedTicket, floorShare: number): boolean {
        const { maxInFlight, leaving } = engine.upstream;
        if (leaving || engine.inFlight >= maxInFlight + this.options.maxOversubscribedRequests) {
            return false;
        }
        const inFlightUpToTier = engine.countInFlightUpTo(queuedTicket.ticket.tier);
        const floorSlots = Math.min(engine.inFlight - inFlightUpToTier, Math.round(floorShare * maxInFlight));
        if (inFlightUpToTier >= maxInFlight - floorSlots) {
            return false;
        }
        return !queuedTicket.isLong || engine.hasSlotForLongRequest(this.options.reservedShortSlotShare);
    }

    private isEligible(engine: Engine, queuedTicket: QueuedTicket, nowMs: number): boolean {
        const { id } = engine.upstream;
        if (queuedTicket.ticket.excludedUpstreams.includes(id)) {
            return false;
        }
        if (!this.options.isOutlierDetectionEnabled || this.outlierDetector.canProbe(id, nowMs)) {
            return true;
        }
        if (this.outlierDetector.isBroken(id)) {
            return false;
        }
        const slowdown = this.outlierDetector.slowdownFactor(id, nowMs);
        return !this.outlierDetector.isSlow(id, nowMs)
            || this.speedModel.gapMs(engine.batchSize + 1) * slowdown <= queuedTicket.tokenGapTargetMs * slowEngineGapTolerance;
    }

    private predict(engine: Engine, queuedTicket: QueuedTicket, uncachedTokens: number, nowMs: number): EnginePrediction {
        const { ticket, expectedOutputTokens } = queuedTicket;
        const { id, availabilityZone, maxInFlight } = engine.upstream;
        const slowdown = this.options.isOutlierDetectionEnabled ? this.outlierDetector.slowdownFactor(id, nowMs) : 1;
        const aheadTokens = engine.pendingPrefillTokensUpTo(queuedTicket.priority);
        const prefillTokens = aheadTokens + uncachedTokens;
        const isLocal = ticket.availabilityZone === availabilityZone;
        const crossZoneMs = isLocal ? 0 : this.options.crossZoneLatencyMs;
        const firstTokenMs = this.speedModel.firstTokenMs(prefillTokens, engine.batchSize) * slowdown + crossZoneMs;
        const lessUrgentPrefillMs = (engine.pendingPrefillTokensUpTo(Infinity) - aheadTokens) * this.speedModel.gapMsPerPrefillToken;
        const decodeMs = expectedOutputTokens * this.speedModel.gapMs(Math.min(maxInFlight, engine.inFlight + 1)) + lessUrgentPrefillMs;
        const finishMs = firstTokenMs + decodeMs * slowdown;
        const crossZoneRiskMs = isLocal ? 0 : finishMs * finishMs / this.options.crossZoneRiskScaleMs;
        const costMs = finishMs + crossZoneRiskMs + this.predictInterferenceMs(engine, queuedTicket, uncachedTokens, decodeMs) +
            this.random() * maxTieBreakMs;
        return { upstreamId: id, firstTokenMs, finishMs, costMs, uncachedTokens, prefillTokens };
    }

    /**
     * Weighted delay that the request adds to the engine's other streams: longer token gaps, its prefill, and a paused stream if all slots
     * are taken.
     */
    private predictInterferenceMs(engine: Engine, queuedTicket: QueuedTicket, uncachedTokens: number, decodeMs: number): number {
        const { tier } = queuedTicket.ticket;
        const higherTierRequests = tier === 0 ? 0 : engine.countInFlightUpTo(tier - 1);
        const weightedRequests = engine.batchSize + (higherTierWeight - 1) * Math.min(higherTierRequests, engine.batchSize);
        const prefillMs = uncachedTokens * this.speedModel.gapMsPerPrefillToken;
        if (engine.inFlight >= engine.upstream.maxInFlight) {
            return weightedRequests * prefillMs + decodeMs;
        }
        return weightedRequests * (prefillMs + queuedTicket.expectedOutputTokens * this.speedModel.gapMsPerRequest);
    }

    /** Whether all more urgent streams on the engine can still meet their token gap targets if it accepts this request. */
    private canMeetGapTargets(engine: Engine, queuedTicket: QueuedTicket, uncachedTokens: number, nowMs: number): boolean {
        if (queuedTicket.priority === 0 || this.options.gapBudgetShare === Infinity) {
            return true;
        }
        const slowdown = this.options.isOutlierDetectionEnabled ? this.outlierDetector.slowdownFactor(engine.upstream.id, nowMs) : 1;
        const gapMs = this.speedModel.gapMs(Math.min(engine.upstream.maxInFlight, engine.inFlight + 1)) * slowdown;
        for (const grant of engine.running) {
            if (grant.priority < queuedTicket.priority && !this.canMeetGapTarget(engine, grant, gapMs, uncachedTokens)) {
                return false;
            }
        }
        return true;
    }

    private canMeetGapTarget(engine: Engine, grant: ActiveGrant, gapMs: number, uncachedTokens: number): boolean {
        const prefillBudgetMs = (grant.tokenGapTargetMs - gapMs) * grant.predictedOutputTokens * this.options.gapBudgetShare;
        const prefillTokens = engine.totalPrefillTokens - grant.totalPrefillTokensAtFirstToken + uncachedTokens;
        return prefillTokens * this.speedModel.gapMsPerPrefillToken <= prefillBudgetMs;
    }
}

/** Inserts into a short list ordered by cost. Cheaper than sorting, as most predictions cost more than the listed ones. */
function insertByCost(best: EnginePrediction[], prediction: EnginePrediction): void {
    let position = best.length;
    while (position > 0 && (best[position - 1] as EnginePrediction).costMs > prediction.costMs) {
        position--;
    }
    if (position >= maxRankedEngines) {
        return;
    }
    best.splice(position, 0, prediction);
    if (best.length > maxRankedEngines) {
        best.pop();
    }
}
