import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";
import { SlidingWindow } from "../limits/SlidingWindow.js";
import type { AdmissionRequest } from "./AdmissionRequest.js";
import { computePromptSize } from "./computePromptSize.js";
import { CustomerShares } from "./CustomerShares.js";
import { estimatePrefillMs } from "./estimatePrefillMs.js";
import type { Placement } from "./Placement.js";
import type { PlacementRefusal } from "./PlacementRefusal.js";
import type { PlacementRequest } from "./PlacementRequest.js";
import type { UpstreamLoadTracker } from "./UpstreamLoadTracker.js";

/** Delay from the end of prefill to the first event, as in `EnginePlacer`. */
const firstEventDelayMs = 110;
/** Share of the estimated prefill times that is taken for sure. With all of it, calls that can still be answered are refused in the model. */
const surePrefillShare = 0.9;
/** Mean duration of a stream, by which slots become free on a full engine; as in `EnginePlacer`. */
const typicalStreamMs = 1_500;
/** An output token costs as much as this many prompt tokens, from the prices of the deployments. */
const promptTokensPerOutputToken = 10;
/** Share of the cost of a shared part that is left when the engine has it cached. */
const cachedCostShare = 0.1;
/** Priority levels by which calls of a customer over its share go behind others. With 2 the customer is cut more, others gain nothing. */
const overShareOffset = 1;
/** A service is near full when at least this share of its upstreams is not idle. */
const nearFullShare = 0.5;
const nearFullIntervalMs = 50;
/** Shortest `Retry-After`, and the share by which it is lengthened at random so that callers do not return at the same moment. */
const minRetryAfterMs = 200;
const maxRetryJitter = 0.5;
/** Calls that are repeated this much before the end of `Retry-After` are on time: the header is rounded. */
const retryToleranceMs = 5;
const maxRefusals = 4_096;
/** Window for the rate at which a plain service takes calls. */
const rateWindowSeconds = 2;
const rateWindowMs = rateWindowSeconds * 1_000;

interface ServiceState {
    /** Shares of the customers by tier rank. */
    readonly shares: Map<number, CustomerShares>;
    readonly starts: SlidingWindow;
    readonly startedMs: number;
    isNearFull: boolean;
    nearFullCheckedMs: number;
}

interface AdmissionPolicyOptions {
    readonly loadTracker: UpstreamLoadTracker;
    /** Returns a number from 0 to 1. */
    readonly random: () => number;
    /** Whether this VM places the calls of a service for the whole fleet, and not only its own. */
    readonly placesAllCalls: (service: string) => boolean;
}

/** A placement in time, or by how much the call would begin too late on the best upstream. */
type Choice = Placement | { readonly lateMs: number; };

/**
 * Decides for each call that has been placed whether it is sent now, with which priority offset, or refused as its caller would stop
 * waiting before it begins.
 */
export class AdmissionPolicy {
    private readonly services = new Map<string, ServiceState>();
    /** Refused calls that are not sent again before `untilMs`, the oldest first. */
    private readonly refusedCalls = new Map<string, { readonly untilMs: number; readonly remainingMs: number; }>();

    constructor(private readonly options: AdmissionPolicyOptions) {}

    decide(request: PlacementRequest, placement: Placement, admission: AdmissionRequest): Placement | PlacementRefusal {
        const { loadTracker } = this.options;
        const { candidates, nowMs } = request;
        const state = this.getService(request);
        const isOver = this.recordCost(state, request, placement, admission) && this.isNearFull(state, request);
        const prepared = isOver ? this.addOffset(placement, request) : placement;
        const choice = request.call.prompt === undefined
            ? this.choosePlain(state, request, placement, admission)
            : this.chooseEngine(request, prepared, admission);
        const mayRefuse = admission.mayRefuse && !candidates.some(upstream => this.isIdle(upstream)) && !loadTracker.hasLatePeers(nowMs);
        if (mayRefuse) {
            const refusal = this.refuseRepeated(request, choice, admission) ?? this.refuseLate(request, choice, isOver, admission);
            if (refusal !== undefined) {
                return refusal;
            }
        }
        state.starts.add(1, nowMs);
        return "lateMs" in choice ? prepared : choice;
    }

    /** Number of customers that are over their fair share in any service and tier. */
    countCustomersOver(nowMs: number): number {
        return [...this.services.values()].flatMap(({ shares }) => [...shares.values()])
            .reduce((total, shares) => total + shares.countOver(nowMs), 0);
    }

    /** Calls of a customer over its share go behind others; the later due time keeps the engine from counting as slow for that. */
    private addOffset(placement: Placement, { call }: PlacementRequest): Placement {
        if (call.prompt === undefined) {
            return placement;
        }
        const delay = placement.delay + overShareOffset;
        const { loadTracker } = this.options;
        const { id } = placement.upstream;
        const addedWaitMs = loadTracker.pendingPrefillMs(id, delay) - loadTracker.pendingPrefillMs(id, placement.delay);
        return {
            ...placement,
            delay,
            waitMs: placement.waitMs + addedWaitMs,
            dueMs: placement.dueMs === undefined ? undefined : placement.dueMs + addedWaitMs,
        };
    }

    /** Sends a prompt to the engine that it was placed on, or to the one that begins it first if only that is in time. */
    private chooseEngine(request: PlacementRequest, placement: Placement, { remainingMs }: AdmissionRequest): Choice {
        if (this.estimateFirstEventMs(placement.upstream, placement.readMs, placement.delay) <= remainingMs) {
            return placement;
        }
        const { ownTokens, sharedTokens } = computePromptSize(request.call);
        const readMs = estimatePrefillMs(ownTokens + sharedTokens, 0);
        let best = placement.upstream;
        let bestMs = this.estimateFirstEventMs(best, placement.readMs, placement.delay);
        for (const engine of request.candidates) {
            const firstEventMs = this.estimateFirstEventMs(engine, readMs, placement.delay);
            if (firstEventMs < bestMs) {
                best = engine;
                bestMs = firstEventMs;
            }
        }
        if (bestMs > remainingMs) {
            return { lateMs: bestMs - remainingMs };
        }
        const waitMs = Math.max(0, bestMs - firstEventDelayMs - readMs);
        return { ...placement, upstream: best, readMs, waitMs, dueMs: undefined, reason: "shorter-wait" };
    }

    private estimateFirstEventMs({ id, slots }: RelayUpstream, readMs: number, priorityOffset: number): number {
        const { loadTracker } = this.options;
        const prefillWaitMs = Math.max(0, loadTracker.pendingPrefillMs(id, priorityOffset) - firstEventDelayMs);
        const queuedCalls = Math.max(0, loadTracker.callsInFlight(id) + 1 - slots);
        return firstEventDelayMs + (prefillWaitMs + readMs) * surePrefillShare + queuedCalls * typicalStreamMs / slots;
    }

    /** Finds out whether a plain call would wait for a slot for longer than its caller waits. */
    private choosePlain(
        state: ServiceState,
        { service, candidates, available, route, nowMs }: PlacementRequest,
        placement: Placement,
        { remainingMs }: AdmissionRequest,
    ): Choice {
        const { loadTracker, placesAllCalls } = this.options;
        const callsPerMs = state.starts.sum(nowMs) / rateWindowMs;
        if (callsPerMs === 0 || nowMs - state.startedMs < rateWindowMs) {
            return placement;
        }
        const countCalls = placesAllCalls(service)
            ? ({ id }: RelayUpstream) => loadTracker.callsInFlight(id)
            : ({ id }: RelayUpstream) => loadTracker.localCallsInFlight(id);
        const runningCalls = available.reduce(
            (sum, upstream) =>
                sum + countCalls(upstream) * Math.min(1, upstream.slots / Math.max(1, loadTracker.callsInFlight(upstream.id))),
            0,
        );
        // By Little's law. Calls that pile up on a hung service say nothing about how long a call runs, hence the limit.
        const runMs = Math.min(route.targetMs, runningCalls / callsPerMs);
        const waitMs = Math.min(
            ...candidates.map(({ id, slots }) => Math.max(0, loadTracker.callsInFlight(id) + 1 - slots) * runMs / slots),
        );
        return waitMs > remainingMs ? { lateMs: waitMs - remainingMs } : placement;
    }

    private isIdle({ id, slots }: RelayUpstream): boolean {
        const { loadTracker } = this.options;
        return loadTracker.callsInFlight(id) < slots && loadTracker.pendingPrefillMs(id) <= firstEventDelayMs;
    }

    private isNearFull(state: ServiceState, { candidates, nowMs }: PlacementRequest): boolean {
        if (nowMs - state.nearFullCheckedMs >= nearFullIntervalMs) {
            state.nearFullCheckedMs = nowMs;
            state.isNearFull = candidates.filter(upstream => !this.isIdle(upstream)).length >= candidates.length * nearFullShare;
        }
        return state.isNearFull;
    }

    /** Adds the cost of the call to the use of its customer, once and also if it is refused. Returns whether the customer is over its share. */
    private recordCost(state: ServiceState, request: PlacementRequest, placement: Placement, admission: AdmissionRequest): boolean {
        const { call, nowMs } = request;
        let shares = state.shares.get(admission.rank);
        if (shares === undefined) {
            shares = new CustomerShares(nowMs);
            state.shares.set(admission.rank, shares);
        }
        const { ownTokens, sharedTokens } = computePromptSize(call);
        const sharedCost = sharedTokens * (placement.reason === "cached-prefix" ? cachedCostShare : 1);
        const cost = call.prompt === undefined ? 1 : ownTokens + sharedCost + call.prompt.maxOutputTokens * promptTokensPerOutputToken;
        // Sums of fractions do not return to exactly zero when they leave a window, so that idle customers would count as active.
        return shares.add(admission.customer, admission.isFirst === false ? 0 : Math.round(cost), nowMs);
    }

    /** Refuses a call that was refused before and comes back early. One whose caller waits for longer than then may be in time. */
    private refuseRepeated(request: PlacementRequest, choice: Choice, admission: AdmissionRequest): PlacementRefusal | undefined {
        const refused = this.refusedCalls.get(formatKey(request, admission));
        if (refused === undefined || !("lateMs" in choice) && admission.remainingMs > refused.remainingMs + retryToleranceMs) {
            return undefined;
        }
        const retryAfterMs = refused.untilMs - request.nowMs;
        return retryAfterMs > retryToleranceMs ? { refusedFor: "repeated", retryAfterMs } : undefined;
    }

    private refuseLate(
        request: PlacementRequest,
        choice: Choice,
        isOver: boolean,
        admission: AdmissionRequest,
    ): PlacementRefusal | undefined {
        if (!("lateMs" in choice)) {
            return undefined;
        }
        const retryAfterMs = Math.max(minRetryAfterMs, choice.lateMs) * (1 + this.options.random() * maxRetryJitter);
        if (request.call.prompt !== undefined) {
            const key = formatKey(request, admission);
            this.refusedCalls.delete(key);
            this.refusedCalls.set(key, { untilMs: request.nowMs + retryAfterMs, remainingMs: admission.remainingMs });
            const [oldest] = this.refusedCalls.keys();
            if (this.refusedCalls.size > maxRefusals && oldest !== undefined) {
                this.refusedCalls.delete(oldest);
            }
        }
        return { refusedFor: isOver ? "over-share" : "time-limit", retryAfterMs };
    }

    private getService({ service, nowMs }: PlacementRequest): ServiceState {
        let state = this.services.get(service);
        if (state === undefined) {
            const starts = new SlidingWindow(nowMs, rateWindowSeconds);
            state = { shares: new Map(), starts, startedMs: nowMs, isNearFull: false, nearFullCheckedMs: -Infinity };
            this.services.set(service, state);
        }
        return state;
    }
}

/** What a repeated call has in common with the refused one; its request id differs. */
function formatKey({ service, call: { prompt }, route }: PlacementRequest, { customer }: AdmissionRequest): string {
    const parts = prompt?.parts.map(({ id, tokens }) => `${id}:${tokens}`).join(" ");
    return JSON.stringify([service, customer, route.name, prompt?.promptTokens, prompt?.maxOutputTokens, parts]);
}
