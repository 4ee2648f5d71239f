import { HedgeBudget } from "../health/HedgeBudget.js";
import type { Clock } from "../util/Clock.js";
import { FirstAnswerTimes } from "./FirstAnswerTimes.js";
import type { HedgeResult } from "./HedgeResult.js";

interface HedgeTimes {
    /** Time from the sending of an attempt after which a hedge is started. */
    readonly delayMs: number;
    /** Time that the hedge itself is expected to take. */
    readonly usualMs: number;
}

interface HedgeRequest {
    readonly service: string;
    readonly usualMs: number;
    readonly remainingMs: number;
    /** Upstreams that may get the hedge, with the calls of all VMs on them as far as this VM knows. */
    readonly candidates: readonly { readonly slots: number; readonly callsInFlight: number; }[];
    /** Takes a retry out of the service's budget, which keeps a reserve for retries after failures. */
    readonly spendRetry: () => boolean;
}

const delayPercentile = 0.95;
const usualPercentile = 0.5;
/** A call that takes less than twice the usual time is no outlier; hedging it would use up the budget before the slow ones. */
const minDelayFactor = 2;
/** Timers of a small VM fire up to this late; a shorter delay would hedge calls that have just been answered. */
const minDelayMs = 20;
/** Above this share of slots in use, calls that arrive unevenly already wait for each other on some upstreams. */
const maxLoadShare = 0.7;
/** Pairs of service and route are configured, so that their number is small; this bounds it after many changes of the configuration. */
const maxTrackedRoutes = 256;

/**
 * Decides when a call that may be repeated is sent to a second upstream because the first is slow to answer, from the first-answer times
 * of its service and route on this VM.
 */
export class HedgePolicy {
    private readonly budgets = new Map<string, HedgeBudget>();
    private readonly timesByRoute = new Map<string, FirstAnswerTimes>();

    /** `hedgeShare` is the largest number of hedges for each call of a service. */
    constructor(private readonly clock: Clock, private readonly hedgeShare: number) {}

    /** Earns a fraction of a hedge for the first attempt of a call. */
    recordCall(service: string): void {
        this.getBudget(service).recordGrant();
    }

    /** Records the time until an attempt was first answered, or until it was given up for being slow. */
    recordFirstAnswer(service: string, route: string, elapsedMs: number, expectedMs: number): void {
        const key = formatKey(service, route);
        let times = this.timesByRoute.get(key);
        if (times === undefined) {
            const [oldestKey] = this.timesByRoute.keys();
            if (this.timesByRoute.size >= maxTrackedRoutes && oldestKey !== undefined) {
                this.timesByRoute.delete(oldestKey);
            }
            times = new FirstAnswerTimes();
            this.timesByRoute.set(key, times);
        }
        times.record(elapsedMs - expectedMs, this.clock.nowMs());
    }

    /** Returns when to hedge an attempt with this expected first-answer time; undefined while too little is known. */
    findTimes(service: string, route: string, expectedMs: number): HedgeTimes | undefined {
        const percentiles = this.timesByRoute.get(formatKey(service, route))
            ?.computePercentiles([usualPercentile, delayPercentile], this.clock.nowMs());
        if (percentiles === undefined) {
            return undefined;
        }
        const [usualExcessMs = 0, slowExcessMs = 0] = percentiles;
        const usualMs = Math.max(0, expectedMs + usualExcessMs);
        return { usualMs, delayMs: Math.max(minDelayMs, minDelayFactor * usualMs, expectedMs + slowExcessMs) };
    }

    /** Takes a hedge out of the budgets, or says why none may be started. */
    admit(request: HedgeRequest): Exclude<HedgeResult, "won" | "dropped"> {
        if (request.remainingMs < request.usualMs) {
            return "refused-time";
        }
        const budget = this.getBudget(request.service);
        if (computeLoadShare(request.candidates) > maxLoadShare) {
            return "refused-load";
        }
        if (!budget.canSpend) {
            return "refused-budget";
        }
        if (!request.spendRetry()) {
            return "refused-retries";
        }
        budget.spend();
        return "started";
    }

    private getBudget(service: string): HedgeBudget {
        let budget = this.budgets.get(service);
        if (budget === undefined) {
            // Nothing is saved at the start: in a large fleet that would be hundreds of hedges beyond the share.
            budget = new HedgeBudget(this.hedgeShare, 0);
            this.budgets.set(service, budget);
        }
        return budget;
    }
}

function computeLoadShare(upstreams: HedgeRequest["candidates"]): number {
    const slots = upstreams.reduce((sum, upstream) => sum + upstream.slots, 0);
    const calls = upstreams.reduce((sum, upstream) => sum + upstream.callsInFlight, 0);
    return slots === 0 ? Infinity : calls / slots;
}

function formatKey(service: string, route: string): string {
    return `${service} ${route}`;
}
