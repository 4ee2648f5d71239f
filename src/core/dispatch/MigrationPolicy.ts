import type { EngineSpeedModel } from "../estimate/EngineSpeedModel.js";
import type { OutlierDetector } from "../health/OutlierDetector.js";
import type { ActiveGrant } from "./ActiveGrant.js";
import { assumedBatchSize } from "./assumedBatchSize.js";
import type { DispatchOptions } from "./DispatchOptions.js";
import type { Engine } from "./Engine.js";

/** Streams are migrated off an engine that is slower than its peers by at least this factor. Two slow observations suffice to reach it. */
const minMigrationSlowdown = 2.5;
/** A stream is migrated only if finishing on another engine is predicted to take less than this share of its remaining time. */
const maxMigrationTimeShare = 0.5;

/** Decides which streams to migrate off a slow engine. */
export class MigrationPolicy {
    constructor(
        private readonly options: DispatchOptions,
        private readonly speedModel: EngineSpeedModel,
        private readonly outlierDetector: OutlierDetector,
    ) {}

    /** Whether an engine is slow enough to migrate streams off it. */
    isSlowEnoughToMigrate(engine: Engine, nowMs: number): boolean {
        return this.options.isMigrationEnabled && this.outlierDetector.slowdownFactor(engine.upstream.id, nowMs) >= minMigrationSlowdown;
    }

    /** Whether a stream misses its token gap target and is predicted to finish on another engine in less than half the time. */
    isMigrationWorthwhile(engine: Engine, grant: ActiveGrant, engines: readonly Engine[], nowMs: number): boolean {
        const slowdown = this.outlierDetector.slowdownFactor(engine.upstream.id, nowMs);
        const gapMs = this.speedModel.gapMs(engine.batchSize);
        if (grant.isPreempted || grant.isLong || gapMs * slowdown <= grant.tokenGapTargetMs) {
            return false;
        }
        const remainingTokens = Math.max(1, grant.predictedOutputTokens - grant.outputTokens);
        const recomputeMs = this.speedModel.firstTokenMs(grant.ticket.promptTokens + grant.outputTokens, assumedBatchSize);
        const hasFirstToken = grant.firstTokenMs !== undefined;
        const currentEngineMs = (remainingTokens * gapMs + (hasFirstToken ? 0 : grant.predictedFirstTokenMs)) * slowdown;
        const otherEngineMs = recomputeMs + remainingTokens * gapMs;
        return otherEngineMs < maxMigrationTimeShare * currentEngineMs && this.hasSlotElsewhere(engine, grant, engines, nowMs);
    }

    /** Excluded engines do not count: the stream could not be granted to them, and would wait in the queue instead. */
    private hasSlotElsewhere(slowEngine: Engine, grant: ActiveGrant, engines: readonly Engine[], nowMs: number): boolean {
        for (const engine of engines) {
            const { id, leaving, maxInFlight } = engine.upstream;
            const hasSlot = !leaving && engine.countInFlightUpTo(grant.ticket.tier) < maxInFlight &&
                engine.inFlight < maxInFlight + this.options.maxOversubscribedRequests;
            const isEligible = engine !== slowEngine && !grant.ticket.excludedUpstreams.includes(id);
            if (isEligible && hasSlot && !this.outlierDetector.isSlow(id, nowMs)) {
                return true;
            }
        }
        return false;
    }
}
