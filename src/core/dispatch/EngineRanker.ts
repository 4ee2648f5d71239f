import type { EngineSpeedModel } from "../estimate/EngineSpeedModel.js";
import type { PrefixCacheHints } from "../estimate/PrefixCacheHints.js";
import type { OutlierDetector } from "../health/OutlierDetector.js";
import type { ActiveGrant } from "./ActiveGrant.js";
import type { DispatchOptions } from "./DispatchOptions.js";
import type { Engine } from "./Engine.js";
import type { EnginePrediction } from "./EnginePrediction.js";
import type { QueuedTicket } from "./QueuedTicket.js";

/** Time lost by a higher-tier stream weighs this many times that of the request's own tier. */
const higherTierWeight = 4;
/** A slow engine is passed over when the class's gap target would be missed there by this factor. */
const slowGapTolerance = 1.2;
/** Differences in cost below this are left to chance, so that equal engines share the work. */
const tieBreakMs = 1;

/** Predictions that are given back: the engine to take and a few to explain it by. */
const maxRanked = 4;
const none: EnginePrediction[] = [];

/** Decides which engines may take a ticket now, and ranks them by predicted finish and harm to the work that they have. */
export class EngineRanker {
    /** `random` gives numbers in [0, 1). */
    constructor(
        private readonly options: DispatchOptions,
        private readonly speed: EngineSpeedModel,
        private readonly health: OutlierDetector,
        private readonly prefixes: PrefixCacheHints,
        private readonly random: () => number,
    ) {}

    /**
     * The few best engines that may take the ticket, best first; none when it has to wait. `floorShare` is the share of an engine's slots
     * that lower tiers keep while they have work there. A ticket under its class's floor (`isGuaranteed`) is not held back for the gaps of
     * higher tiers.
     */
    rank(engines: readonly Engine[], waiting: QueuedTicket, floorShare: number, isGuaranteed: boolean, nowMs: number): EnginePrediction[] {
        let best = none;
        for (const engine of engines) {
            if (this.hasRoom(engine, waiting, floorShare) && this.isFit(engine, waiting, nowMs)) {
                const uncachedTokens = this.uncachedTokens(engine, waiting, nowMs);
                if (isGuaranteed || this.keepsGaps(engine, waiting, uncachedTokens, nowMs)) {
                    best = best === none ? [] : best;
                    insert(best, this.predict(engine, waiting, uncachedTokens, nowMs));
                }
            }
        }
        return best;
    }

    private uncachedTokens(engine: Engine, { ticket }: QueuedTicket, nowMs: number): number {
        return Math.max(1, ticket.promptTokens - this.prefixes.cachedTokens(ticket.prefixHashes, engine.upstream.id, nowMs));
    }

    private hasRoom(engine: Engine, waiting: QueuedTicket, floorShare: number): boolean {
        const { maxInFlight, leaving } = engine.upstream;
        if (leaving || engine.inFlight >= maxInFlight + this.options.maxOversubscribedRequests) {
            return false;
        }
        const upToTier = engine.inFlightUpTo(waiting.ticket.tier);
        const floorSlots = Math.min(engine.inFlight - upToTier, Math.round(floorShare * maxInFlight));
        if (upToTier >= maxInFlight - floorSlots) {
            return false;
        }
        return !waiting.isLong || engine.hasSlotForLongWork(this.options.reservedShortSlotShare);
    }

    private isFit(engine: Engine, waiting: QueuedTicket, nowMs: number): boolean {
        const { id } = engine.upstream;
        if (waiting.ticket.excludedUpstreams.includes(id)) {
            return false;
        }
        if (!this.options.isOutlierDetectionEnabled || this.health.canProbe(id, nowMs)) {
            return true;
        }
        if (this.health.isBroken(id)) {
            return false;
        }
        const slowness = this.health.slowdownFactor(id, nowMs);
        return !this.health.isSlow(id, nowMs)
            || this.speed.gapMs(engine.batchSize + 1) * slowness <= waiting.tokenGapTargetMs * slowGapTolerance;
    }

    private predict(engine: Engine, waiting: QueuedTicket, uncachedTokens: number, nowMs: number): EnginePrediction {
        const { ticket, expectedOutputTokens } = waiting;
        const { id, availabilityZone, maxInFlight } = engine.upstream;
        const slowness = this.options.isOutlierDetectionEnabled ? this.health.slowdownFactor(id, nowMs) : 1;
        const aheadTokens = engine.pendingPrefillTokensUpTo(waiting.priority);
        const prefillTokens = aheadTokens + uncachedTokens;
        const isLocal = ticket.availabilityZone === availabilityZone;
        const hopMs = isLocal ? 0 : this.options.crossZoneLatencyMs;
        const firstTokenMs = this.speed.firstTokenMs(prefillTokens, engine.batchSize) * slowness + hopMs;
        const lowerReadMs = (engine.pendingPrefillTokensUpTo(Infinity) - aheadTokens) * this.speed.gapMsPerPrefillToken;
        const writeMs = expectedOutputTokens * this.speed.gapMs(Math.min(maxInFlight, engine.inFlight + 1)) + lowerReadMs;
        const finishMs = firstTokenMs + writeMs * slowness;
        const riskMs = isLocal ? 0 : finishMs * finishMs / this.options.crossZoneRiskScaleMs;
        const costMs = finishMs + riskMs + this.harmMs(engine, waiting, uncachedTokens, writeMs) + this.random() * tieBreakMs;
        return { upstreamId: id, firstTokenMs, finishMs, costMs, uncachedTokens, prefillTokens };
    }

    /** Time that the streams of the engine lose by this request: longer gaps, its prompt being read, one of them paused for it. */
    private harmMs(engine: Engine, waiting: QueuedTicket, uncachedTokens: number, writeMs: number): number {
        const { tier } = waiting.ticket;
        const higher = tier === 0 ? 0 : engine.inFlightUpTo(tier - 1);
        const weighted = engine.batchSize + (higherTierWeight - 1) * Math.min(higher, engine.batchSize);
        const readMs = uncachedTokens * this.speed.gapMsPerPrefillToken;
        if (engine.inFlight >= engine.upstream.maxInFlight) {
            return weighted * readMs + writeMs;
        }
        return weighted * (readMs + waiting.expectedOutputTokens * this.speed.gapMsPerRequest);
    }

    /** Whether more urgent streams there still meet their gap targets with this request beside them. */
    private keepsGaps(engine: Engine, waiting: QueuedTicket, uncachedTokens: number, nowMs: number): boolean {
        if (waiting.priority === 0 || this.options.gapBudgetShare === Infinity) {
            return true;
        }
        const slowness = this.options.isOutlierDetectionEnabled ? this.health.slowdownFactor(engine.upstream.id, nowMs) : 1;
        const gapMs = this.speed.gapMs(Math.min(engine.upstream.maxInFlight, engine.inFlight + 1)) * slowness;
        for (const grant of engine.running) {
            if (grant.priority < waiting.priority && !this.keepsGap(engine, grant, gapMs, uncachedTokens)) {
                return false;
            }
        }
        return true;
    }

    private keepsGap(engine: Engine, grant: ActiveGrant, gapMs: number, uncachedTokens: number): boolean {
        const spareMs = (grant.tokenGapTargetMs - gapMs) * grant.predictedOutputTokens * this.options.gapBudgetShare;
        const readTokens = engine.totalPrefillTokens - grant.totalPrefillTokensAtFirstToken + uncachedTokens;
        return readTokens * this.speed.gapMsPerPrefillToken <= spareMs;
    }
}

/** Keeps the list short and in order of cost; there is nothing to sort for most engines. */
function insert(best: EnginePrediction[], prediction: EnginePrediction): void {
    let position = best.length;
    while (position > 0 && (best[position - 1] as EnginePrediction).costMs > prediction.costMs) {
        position--;
    }
    if (position >= maxRanked) {
        return;
    }
    best.splice(position, 0, prediction);
    if (best.length > maxRanked) {
        best.pop();
    }
}
