import type { EngineSpeedModel } from "../estimate/EngineSpeedModel.js";
import type { OutlierDetector } from "../health/OutlierDetector.js";
import type { ActiveGrant } from "./ActiveGrant.js";
import { assumedBatchSize } from "./assumedBatchSize.js";
import type { DispatchOptions } from "./DispatchOptions.js";
import type { Engine } from "./Engine.js";

/** Streams are moved off an engine that is slower than its peers by this much: two observations show it. */
const moveSlowness = 2.5;
/** A stream on a slow engine is moved when going on elsewhere is predicted to take less than this share of the time. */
const moveGainShare = 0.5;

/** Decides which streams go on elsewhere when their engine turns out slow. */
export class MigrationPolicy {
    constructor(
        private readonly options: DispatchOptions,
        private readonly speed: EngineSpeedModel,
        private readonly health: OutlierDetector,
    ) {}

    /** Whether an engine is slow enough to move streams off it. */
    isSlowEnoughToMigrate(engine: Engine, nowMs: number): boolean {
        return this.options.isMigrationEnabled && this.health.slowdownFactor(engine.upstream.id, nowMs) >= moveSlowness;
    }

    /** Whether going on with a stream on another engine is predicted to take less than half as long. */
    isMigrationWorthwhile(engine: Engine, grant: ActiveGrant, engines: readonly Engine[], nowMs: number): boolean {
        const slowness = this.health.slowdownFactor(engine.upstream.id, nowMs);
        const gapMs = this.speed.gapMs(engine.batchSize);
        if (grant.isPreempted || grant.isLong || gapMs * slowness <= grant.tokenGapTargetMs) {
            return false;
        }
        const remainingTokens = Math.max(1, grant.predictedOutputTokens - grant.outputTokens);
        const rereadMs = this.speed.firstTokenMs(grant.ticket.promptTokens + grant.outputTokens, assumedBatchSize);
        const isRead = grant.firstTokenMs !== undefined;
        const hereMs = (remainingTokens * gapMs + (isRead ? 0 : grant.predictedFirstTokenMs)) * slowness;
        const elsewhereMs = rereadMs + remainingTokens * gapMs;
        return elsewhereMs < moveGainShare * hereMs && this.hasRoomElsewhere(engine, grant, engines, nowMs);
    }

    private hasRoomElsewhere(slow: Engine, grant: ActiveGrant, engines: readonly Engine[], nowMs: number): boolean {
        for (const engine of engines) {
            const { id, leaving, maxInFlight } = engine.upstream;
            const hasSlot = !leaving && engine.inFlightUpTo(grant.ticket.tier) < maxInFlight &&
                engine.inFlight < maxInFlight + this.options.maxOversubscribedRequests;
            if (engine !== slow && hasSlot && !this.health.isSlow(id, nowMs)) {
                return true;
            }
        }
        return false;
    }
}
