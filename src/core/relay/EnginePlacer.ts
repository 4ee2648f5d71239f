import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";
import { computePromptSize } from "./computePromptSize.js";
import type { EngineGroups } from "./EngineGroups.js";
import { estimatePrefillMs } from "./estimatePrefillMs.js";
import type { Placement } from "./Placement.js";
import type { PlacementRequest } from "./PlacementRequest.js";
import { PromptPartUsage } from "./PromptPartUsage.js";
import { rankByRendezvousHash } from "./rankByRendezvousHash.js";
import { RoutePromptLengths } from "./RoutePromptLengths.js";
import { splitEngines } from "./splitEngines.js";
import type { UpstreamLoadTracker } from "./UpstreamLoadTracker.js";

/** Prompts that are longer on average fill more than one chunk of reading and hold up the streams beside them. */
const longPromptTokens = 2_048;
/** Time from the end of reading to the first event, during which a prompt counts as not read yet; from the site files. */
const firstEventMs = 110;
/** A prompt stays with the engine that keeps its shared part while its first event is expected within this share of its target. */
const homeShare = 0.5;
/** The first event of a call is overdue only this much after it was expected, to pass over the ways there and back. */
const dueSlackMs = 20;
/**
 * Prompts that take longer to read are sent as less urgent, a class for each step, so that engines read short ones first: behind a
 * prompt that takes half a second, many short ones would be late, while it is late by itself.
 */
const sizeStepsMs = [60, 120, 240];
/** A short prompt overflows when its first event is expected after this share of its target. */
const overflowShare = 0.6;
/** It goes only where it waits this much less, since long prompts there will hold up its events. */
const overflowMs = 60;
/** Delay that each stream on an engine causes a further one, in milliseconds. */
const streamCostMs = 0.3;
/** Events that come up to this much later than usual show no slow moment. */
const usualSlowness = 1.2;
/**
 * A prompt that is placed on an engine in a slow moment breaks the streams there, and is read slowly: each time that the engine is slower by counts
 * as this much waiting. In the models of heavy days 3 to 9 in 100 more short streams are in time with it.
 */
const slowCostMs = { short: 80, long: 60 };
/** How long a short prompt's stream runs, from the sizes on the sheets of the sites. */
const usualStreamMs = 1_500;
/**
 * Reading a shared part again counts as this much waiting, since it also delays all that come after it on a busy engine; in the models of
 * heavy days 20 served most of 4, 8, 12, 20 and never.
 */
const rereadWeight = 20;
/** Of a part that is called for more often than this in five seconds, the cost of reading it again is spread over the calls that follow. */
const usualCalls = 4;

/**
 * Places prompts on engines. It answers mixed loads of long prompts and many short streams: a long prompt that is read delays each
 * token of the streams beside it, so that the two kinds get engines of their own. Long prompts go where their shared part was read
 * before, unless the wait there would make them late.
 */
export class EnginePlacer {
    private readonly profiles = new RoutePromptLengths();
    private readonly parts = new PromptPartUsage();

    constructor(private readonly board: UpstreamLoadTracker, private readonly random: () => number) {}

    place(request: PlacementRequest): Placement | undefined {
        const { call, route } = request;
        const { ownTokens, sharedTokens } = computePromptSize(call);
        this.profiles.observe(route.name, ownTokens + sharedTokens);
        const groups = this.groupsOf(request);
        if ((this.profiles.meanPromptTokens(route.name) ?? 0) < longPromptTokens) {
            return this.placeShort(groups.short, groups.long, request);
        }
        return this.placeLong(groups.long, request);
    }

    /** Shares out all engines that take calls, so that one that failed once changes the kind of no other, and leaves the candidates. */
    private groupsOf({ available, candidates }: PlacementRequest): EngineGroups {
        const groups = splitEngines(available);
        const [short, long] = [groups.short, groups.long].map(group => group.filter(engine => candidates.includes(engine)));
        return { short: short?.length ? short : candidates, long: long?.length ? long : candidates };
    }

    /** Expected time until the engine has read all prompts there that are as urgent. One that runs late is taken to stay behind. */
    private waitMs(engine: RelayUpstream, delay: number, nowMs: number): number {
        const unreadMs = Math.max(0, this.board.pendingPrefillMs(engine.id, delay) - firstEventMs);
        const lateMs = this.board.overdueMs(engine.id, nowMs) + this.slowMs(engine, slowCostMs.long, nowMs);
        return unreadMs + lateMs + this.slotWaitMs(engine);
    }

    /** What a slow moment of the engine costs. */
    private slowMs({ id }: RelayUpstream, costMs: number, nowMs: number): number {
        return Math.max(0, this.board.eventGaps.slowdownFactor(id, nowMs) - usualSlowness) * costMs;
    }

    /** Expected time until one of the streams on a full engine ends. */
    private slotWaitMs({ id, slots }: RelayUpstream): number {
        const waiting = this.board.callsInFlight(id) + 1 - slots;
        return waiting > 0 ? waiting * usualStreamMs / slots : 0;
    }

    /** Short prompts keep to their own engines while they are in time there. */
    private placeShort(
        group: readonly RelayUpstream[],
        others: readonly RelayUpstream[],
        request: PlacementRequest,
    ): Placement | undefined {
        const own = this.leastWaiting(group, request);
        if (own === undefined || firstEventMs + own.waitMs + own.readMs <= request.route.targetMs * overflowShare) {
            return own ?? this.leastWaiting(others, request);
        }
        const other = this.leastWaiting(others, request);
        return other !== undefined && other.waitMs + overflowMs < own.waitMs ? other : own;
    }

    private leastWaiting(group: readonly RelayUpstream[], request: PlacementRequest): Placement | undefined {
        let best: RelayUpstream | undefined;
        let bestCost = Infinity;
        for (const engine of group) {
            const crowdMs = this.board.pendingPrefillMs(engine.id) + this.board.callsInFlight(engine.id) * streamCostMs;
            const lateMs = this.board.overdueMs(engine.id, request.nowMs) + this.slowMs(engine, slowCostMs.short, request.nowMs);
            const cost = crowdMs + lateMs + this.slotWaitMs(engine) + this.random();
            if (cost < bestCost) {
                best = engine;
                bestCost = cost;
            }
        }
        return best && this.placement(best, false, request, "least-loaded");
    }

    private placeLong(group: readonly RelayUpstream[], request: PlacementRequest): Placement | undefined {
        const { call, route } = request;
        const part = sharedPartOf(call);
        const calls = this.parts.recordCall(part, request.nowMs);
        const [home] = rankByRendezvousHash(part, group);
        if (home === undefined) {
            return undefined;
        }
        const kept = this.bestKeeper(home, part, group, request);
        if (firstEventMs + kept.waitMs + kept.readMs <= route.targetMs * homeShare) {
            return kept;
        }
        const away = this.shortestWait(group.filter(engine => engine !== kept.upstream), request);
        const weight = rereadWeight / Math.max(1, calls / usualCalls);
        if (away === undefined || away.waitMs + away.readMs * weight >= kept.waitMs + kept.readMs) {
            return kept;
        }
        this.parts.recordPrefill(part, away.upstream.id, request.nowMs);
        return away;
    }

    /** The engine with the shortest wait among the home of the part and those that have read it since. */
    private bestKeeper(home: RelayUpstream, part: string, group: readonly RelayUpstream[], request: PlacementRequest): Placement {
        let best = this.placement(home, true, request, group.length === 1 ? "only-one" : "cached-prefix");
        for (const engine of group) {
            if (engine !== home && this.parts.isCached(part, engine.id, request.nowMs)) {
                const there = this.placement(engine, true, request, "cached-prefix");
                best = there.waitMs < best.waitMs ? there : best;
            }
        }
        return best;
    }

    private shortestWait(engines: readonly RelayUpstream[], request: PlacementRequest): Placement | undefined {
        const { nowMs } = request;
        const { ownTokens, sharedTokens } = computePromptSize(request.call);
        const delay = delayOf(estimatePrefillMs(ownTokens + sharedTokens, 0));
        let best: RelayUpstream | undefined;
        let bestCost = Infinity;
        for (const engine of engines) {
            const cost = this.board.pendingPrefillMs(engine.id, delay) + this.waitMs(engine, delay, nowMs) + this.random();
            if (cost < bestCost) {
                best = engine;
                bestCost = cost;
            }
        }
        return best && this.placement(best, false, request, "shorter-wait");
    }

    private placement(upstream: RelayUpstream, isKept: boolean, request: PlacementRequest, reason: Placement["reason"]): Placement {
        const { ownTokens, sharedTokens } = computePromptSize(request.call);
        const readMs = isKept ? estimatePrefillMs(ownTokens, sharedTokens) : estimatePrefillMs(ownTokens + sharedTokens, 0);
        const delay = delayOf(readMs);
        const waitMs = this.waitMs(upstream, delay, request.nowMs);
        return {
            upstream,
            readMs,
            waitMs,
            dueMs: request.nowMs + firstEventMs + dueSlackMs + waitMs + readMs,
            delay,
            reason,
        };
    }
}

/** By how many classes of urgency an engine is to put a prompt behind shorter ones. */
function delayOf(readMs: number): number {
    return sizeStepsMs.filter(stepMs => readMs > stepMs).length;
}

/** The longest part of the prompt that others share: all but the last. */
function sharedPartOf(call: PlacementRequest["call"]): string {
    const parts = call.prompt?.parts ?? [];
    return (parts.at(-2) ?? parts.at(-1))?.id ?? call.requestId;
}
