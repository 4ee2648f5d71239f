import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";
import { fnv1a } from "../util/fnv1a.js";
import { mixHash } from "../util/mixHash.js";
import { computePromptSize } from "./computePromptSize.js";
import { computeUncachedPrefillWeight } from "./computeUncachedPrefillWeight.js";
import type { EngineGroups } from "./EngineGroups.js";
import { enginePromptLimits } from "./enginePromptLimits.js";
import { estimatePrefillMs } from "./estimatePrefillMs.js";
import type { Placement } from "./Placement.js";
import type { PlacementRequest } from "./PlacementRequest.js";
import { PromptPartUsage } from "./PromptPartUsage.js";
import { rankByRendezvousHash } from "./rankByRendezvousHash.js";
import { RoutePromptLengths } from "./RoutePromptLengths.js";
import { splitEngines } from "./splitEngines.js";
import type { UpstreamLoadTracker } from "./UpstreamLoadTracker.js";

const { minLongPromptTokens, firstEventDelayMs } = enginePromptLimits;
/** A prompt stays on an engine that caches its shared part while its first event is expected within this share of its target. */
const cachedTargetShare = 0.5;
/** Allowance for the network round trip before a first event counts as overdue. */
const overdueMarginMs = 20;
/**
 * Each prefill time in this list that a prompt exceeds lowers its priority by one level, so that engines prefill short prompts first.
 * A prompt that takes half a second would make many short ones behind it miss their targets; behind them, it alone is late.
 */
const priorityStepsMs = [60, 120, 240];
/** A short prompt may overflow to the engines for long prompts when its first event is expected after this share of its target. */
const overflowTargetShare = 0.6;
/** Minimum reduction of the wait that justifies an overflow, because long prompts on the other engine will delay its events. */
const minOverflowGainMs = 60;
/** Delay that each call in flight on an engine adds to a further call. */
const delayPerCallMs = 0.3;
/** Up to this slowdown factor an engine counts as running at its normal speed. */
const normalSlowdownFactor = 1.2;
/**
 * Wait time that counts as equivalent to each 1.0 of slowdown factor above normal. A prompt placed on an engine during a slowdown makes
 * the streams there miss their targets, and its own prefill is slow.
 */
const slowdownCostMs = { short: 80, long: 60 };
/** Typical duration of the stream of a short prompt, from the output sizes in the specifications of the deployments. */
const typicalStreamMs = 1_500;
/**
 * Weight of the prefill time on an engine that does not cache the shared part. Prefilling that part again also delays every prompt that
 * follows on a busy engine.
 */
const uncachedPrefillWeight = 20;
/** Above this many calls for a shared part in five seconds, the cost of prefilling it again is spread over the calls that follow. */
const frequentCalls = 4;
const hashRange = 2 ** 32;
/**
 * The share of the shared parts that an engine caches falls with this power of its speed. A slow engine prefills later and has less time left
 * for it: of 0.5, 1, 1.5, 2 and 4, 2 had most long prompts on time in the workload with uneven engines (0.760, 0.777, 0.785, 0.794, 0.789).
 */
const cachingSpeedExponent = 2;

/**
 * Places prompts on engines under a mixed load of long prompts and many short streams. The prefill of a long prompt delays every token
 * of the streams on the same engine, so the two kinds get separate groups of engines. A long prompt goes to an engine that caches its
 * shared part, unless the wait there would make it miss its target.
 */
export class EnginePlacer {
    private readonly promptLengths = new RoutePromptLengths();
    private readonly partUsage = new PromptPartUsage();

    /** With `weighsPrefillByLoad`, a shared part is read again elsewhere according to the load, also where the engines are alike. */
    constructor(
        private readonly loadTracker: UpstreamLoadTracker,
        private readonly random: () => number,
        private readonly weighsPrefillByLoad = false,
    ) {}

    place(request: PlacementRequest): Placement | undefined {
        const { call, route } = request;
        const { ownTokens, sharedTokens } = computePromptSize(call);
        this.promptLengths.recordPromptLength(route.name, ownTokens + sharedTokens);
        this.loadTracker.engineSpeeds?.update(request.available[0]?.service ?? request.service, request.available, request.nowMs);
        const groups = this.getEngineGroups(request);
        if ((this.promptLengths.meanPromptTokens(route.name) ?? 0) < minLongPromptTokens) {
            return this.placeShort(groups.short, groups.long, request);
        }
        return this.placeLong(groups.long, request);
    }

    /**
     * Splits all available engines and then removes those that are not candidates, so that a failed engine does not move another one to
     * the other group. A group without candidates falls back to all candidates.
     */
    private getEngineGroups({ available, candidates }: PlacementRequest): EngineGroups {
        const groups = splitEngines(available);
        const [short, long] = [groups.short, groups.long].map(group => group.filter(engine => candidates.includes(engine)));
        return { short: short?.length ? short : candidates, long: long?.length ? long : candidates };
    }

    /**
     * Expected time until the engine has prefilled all pending prompts with at most this priority offset. An engine with an overdue first
     * event is assumed to stay equally late for further prompts.
     */
    private estimateWaitMs(engine: RelayUpstream, priorityOffset: number, nowMs: number): number {
        const prefillWaitMs = Math.max(0, this.loadTracker.pendingPrefillMs(engine.id, priorityOffset) - firstEventDelayMs);
        const lateMs = this.loadTracker.overdueMs(engine.id, nowMs) + this.computeSlowdownCostMs(engine, slowdownCostMs.long, nowMs);
        return prefillWaitMs + lateMs + this.estimateSlotWaitMs(engine);
    }

    /** Converts the current slowdown of the engine to an equivalent wait time. */
    private computeSlowdownCostMs({ id }: RelayUpstream, costMs: number, nowMs: number): number {
        return Math.max(0, this.loadTracker.eventGaps.slowdownFactor(id, nowMs) - normalSlowdownFactor) * costMs;
    }

    /** Expected time until a slot is free on a full engine; 0 when one is free now. */
    private estimateSlotWaitMs(engine: RelayUpstream): number {
        const { id, slots } = engine;
        const queuedCalls = this.loadTracker.callsInFlight(id) + 1 - slots;
        return queuedCalls > 0 ? queuedCalls * typicalStreamMs / slots / this.speedOf(engine) : 0;
    }

    /** Picks an engine for short prompts; when its first event would be late, one for long prompts if the wait there is much shorter. */
    private placeShort(
        group: readonly RelayUpstream[],
        others: readonly RelayUpstream[],
        request: PlacementRequest,
    ): Placement | undefined {
        const own = this.pickLeastLoaded(group, request);
        if (own === undefined || firstEventDelayMs + own.waitMs + own.readMs <= request.route.targetMs * overflowTargetShare) {
            return own ?? this.pickLeastLoaded(others, request);
        }
        const other = this.pickLeastLoaded(others, request);
        return other !== undefined && other.waitMs + minOverflowGainMs < own.waitMs ? other : own;
    }

    private pickLeastLoaded(group: readonly RelayUpstream[], request: PlacementRequest): Placement | undefined {
        const { ownTokens, sharedTokens } = computePromptSize(request.call);
        const nominalReadMs = estimatePrefillMs(ownTokens + sharedTokens, 0);
        let best: RelayUpstream | undefined;
        let bestCost = Infinity;
        for (const engine of group) {
            const loadMs = this.loadTracker.pendingPrefillMs(engine.id) + this.loadTracker.callsInFlight(engine.id) * delayPerCallMs;
            const lateMs = this.loadTracker.overdueMs(engine.id, request.nowMs) +
                this.computeSlowdownCostMs(engine, slowdownCostMs.short, request.nowMs);
            const cost = loadMs + lateMs + this.estimateSlotWaitMs(engine) + this.extraPrefillMs(engine, nominalReadMs) + this.random();
            if (cost < bestCost) {
                best = engine;
                bestCost = cost;
            }
        }
        return best && this.createPlacement(best, false, request, "least-loaded");
    }

    private placeLong(group: readonly RelayUpstream[], request: PlacementRequest): Placement | undefined {
        const { call, route } = request;
        const partId = getSharedPartId(call);
        const calls = this.partUsage.recordCall(partId, request.nowMs);
        const preferred = this.pickPreferred(partId, group);
        if (preferred === undefined) {
            return undefined;
        }
        const cached = this.pickCached(preferred, partId, group, request);
        if (firstEventDelayMs + cached.waitMs + cached.readMs <= route.targetMs * cachedTargetShare) {
            return cached;
        }
        const alternative = this.pickShortestWait(group.filter(engine => engine !== cached.upstream), request);
        const weight = this.getUncachedPrefillWeight(group) / Math.max(1, calls / frequentCalls);
        if (alternative === undefined || alternative.waitMs + alternative.readMs * weight >= cached.waitMs + cached.readMs) {
            return cached;
        }
        this.partUsage.recordPrefill(partId, alternative.upstream.id, request.nowMs);
        return alternative;
    }

    /** On engines of uneven speed the queues of the slow ones grow while others have time to spare, so that the weight follows the load. */
    private getUncachedPrefillWeight(group: readonly RelayUpstream[]): number {
        if (!this.weighsPrefillByLoad && this.loadTracker.engineSpeeds?.isUneven(group[0]?.service ?? "") !== true) {
            return uncachedPrefillWeight;
        }
        const pendingMs = group.reduce((sum, engine) => sum + this.loadTracker.pendingPrefillMs(engine.id), 0);
        return computeUncachedPrefillWeight(pendingMs / group.length);
    }

    /**
     * Picks the engine that is to cache a shared part: the first by rendezvous hashing that takes the part. A slow engine takes
     * fewer parts, by a hash on which all VMs agree, so that a change of its speed moves only parts of its own.
     */
    private pickPreferred(partId: string, group: readonly RelayUpstream[]): RelayUpstream | undefined {
        const ranked = rankByRendezvousHash(partId, group);
        return ranked.find(engine => {
            const speed = this.speedOf(engine);
            return speed >= 1 || mixHash(fnv1a(engine.id, fnv1a(`${partId} speed`))) / hashRange < speed ** cachingSpeedExponent;
        }) ?? ranked[0];
    }

    /** Speed relative to the median engine of the service. */
    private speedOf(engine: RelayUpstream): number {
        return this.loadTracker.engineSpeeds?.speedOf(engine) ?? 1;
    }

    /** Prefill speed relative to `estimatePrefillMs`. */
    private prefillSpeedOf(engine: RelayUpstream): number {
        return this.speedOf(engine) * (this.loadTracker.engineSpeeds?.prefillSpeedOf(engine.service) ?? 1);
    }

    /** Time by which an engine prefills a prompt later than the median engine of its service does; exactly 0 within the band. */
    private extraPrefillMs(engine: RelayUpstream, nominalReadMs: number): number {
        const speed = this.speedOf(engine);
        return speed === 1 ? 0 : nominalReadMs * (1 - speed) / this.prefillSpeedOf(engine);
    }

    /** Picks the engine with the shortest wait among the preferred engine of the shared part and the others that cache the part. */
    private pickCached(preferred: RelayUpstream, partId: string, group: readonly RelayUpstream[], request: PlacementRequest): Placement {
        const { ownTokens, sharedTokens } = computePromptSize(request.call);
        const nominalReadMs = estimatePrefillMs(ownTokens, sharedTokens);
        let best = this.createPlacement(preferred, true, request, group.length === 1 ? "only-one" : "cached-prefix");
        for (const engine of group) {
            if (engine !== preferred && this.partUsage.isCached(partId, engine.id, request.nowMs)) {
                const candidate = this.createPlacement(engine, true, request, "cached-prefix");
                const candidateMs = candidate.waitMs + this.extraPrefillMs(engine, nominalReadMs);
                best = candidateMs < best.waitMs + this.extraPrefillMs(best.upstream, nominalReadMs) ? candidate : best;
            }
        }
        return best;
    }

    private pickShortestWait(engines: readonly RelayUpstream[], request: PlacementRequest): Placement | undefined {
        const { nowMs } = request;
        const { ownTokens, sharedTokens } = computePromptSize(request.call);
        const nominalReadMs = estimatePrefillMs(ownTokens + sharedTokens, 0);
        const priorityOffset = computePriorityOffset(nominalReadMs);
        let best: RelayUpstream | undefined;
        let bestCost = Infinity;
        for (const engine of engines) {
            const cost = this.loadTracker.pendingPrefillMs(engine.id, priorityOffset) + this.estimateWaitMs(engine, priorityOffset, nowMs) +
                this.extraPrefillMs(engine, nominalReadMs) + this.random();
            if (cost < bestCost) {
                best = engine;
                bestCost = cost;
            }
        }
        return best && this.createPlacement(best, false, request, "shorter-wait");
    }

    private createPlacement(upstream: RelayUpstream, isCached: boolean, request: PlacementRequest, reason: Placement["reason"]): Placement {
        const { ownTokens, sharedTokens } = computePromptSize(request.call);
        const nominalReadMs = isCached ? estimatePrefillMs(ownTokens, sharedTokens) : estimatePrefillMs(ownTokens + sharedTokens, 0);
        const readMs = nominalReadMs / this.prefillSpeedOf(upstream);
        const priorityOffset = computePriorityOffset(nominalReadMs);
        const waitMs = this.estimateWaitMs(upstream, priorityOffset, request.nowMs);
        return {
            upstream,
            readMs,
            waitMs,
            dueMs: request.nowMs + firstEventDelayMs + overdueMarginMs + waitMs + readMs,
            delay: priorityOffset,
            reason,
        };
    }
}

/** The number of priority levels by which an engine is to schedule a prompt behind shorter ones. */
function computePriorityOffset(readMs: number): number {
    return priorityStepsMs.filter(thresholdMs => readMs > thresholdMs).length;
}

/** Id of the last shared part, which identifies the longest shared prefix. Without one, the id of the only part or of the request. */
function getSharedPartId(call: PlacementRequest["call"]): string {
    const parts = call.prompt?.parts ?? [];
    return (parts.at(-2) ?? parts.at(-1))?.id ?? call.requestId;
}
