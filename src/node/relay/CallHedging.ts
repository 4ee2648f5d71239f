import { mayRepeatCall } from "../../core/relay/mayRepeatCall.js";
import { createLogger } from "../logs/createLogger.js";
import type { AttemptResult } from "./AttemptResult.js";
import type { CallContext } from "./CallContext.js";
import type { CallPlacer } from "./CallPlacer.js";
import type { CallRetries } from "./CallRetries.js";
import { cancelReasons } from "./cancelReasons.js";
import { computeRemainingMs } from "./computeRemainingMs.js";
import type { RunningAttempt } from "./RunningAttempt.js";

const log = createLogger("relay");
/** An attempt that ends for one of these had been slow until then, which counts like an answer at that moment. */
const slowReasons: readonly string[] = [cancelReasons.hedgeTookOver, cancelReasons.upstreamSilent, cancelReasons.deadlineExceeded];

/** Tells when an attempt of one call is hedged, and records how long its attempts took to answer. Does nothing where hedging is off. */
export class CallHedging {
    constructor(private readonly context: CallContext, private readonly placer: CallPlacer, private readonly retries: CallRetries) {}

    recordCall(): void {
        this.context.dependencies.hedging?.policy.recordCall(this.context.service);
    }

    /** Calls `onDue` when an attempt has not begun to answer for so long that it is worth a hedge, unless it ends before. */
    watch(running: RunningAttempt, onDue: () => void): void {
        const { service, request: { route }, dependencies: { hedging, scheduler } } = this.context;
        const times = this.isHedgeable ? hedging?.policy.findTimes(service, route.name, computeExpectedMs(running)) : undefined;
        if (times !== undefined) {
            scheduler.after(times.delayMs, () => {
                if (!running.hasBegun(route.kind)) {
                    onDue();
                }
            }, running.endSignal);
        }
    }

    /** Whether an attempt that has not begun to answer may be hedged now; takes the hedge and a retry out of their budgets. */
    admit(running: RunningAttempt): boolean {
        const { service, request, dependencies: { hedging, health, loadTracker, retryBudget, scheduler } } = this.context;
        const times = hedging?.policy.findTimes(service, request.route.name, computeExpectedMs(running));
        const candidates = this.placer.findCandidates().filter(({ id }) => !health.isAvoided(id, scheduler.nowMs()));
        const mayRun = candidates.length > 0 && !request.exitSignal.aborted && this.retries.isRepeatable;
        if (hedging === undefined || times === undefined || !mayRun) {
            return false;
        }
        const admission = hedging.policy.admit({
            service,
            usualMs: times.usualMs,
            remainingMs: computeRemainingMs(this.context),
            candidates: candidates.map(({ id, slots }) => ({ slots, callsInFlight: loadTracker.callsInFlight(id) })),
            spendRetry: () => retryBudget(service).trySpendSpare(),
        });
        if (admission !== "started") {
            hedging.onHedge(admission);
            return false;
        }
        return true;
    }

    /** Records that a hedge has been sent. */
    recordStart(hedged: RunningAttempt, hedge: RunningAttempt): void {
        this.context.dependencies.hedging?.onHedge("started");
        this.log("hedging a call whose upstream is slow to answer", hedged, hedge);
    }

    /** Records that an admitted hedge was not sent: its attempt has begun to answer or ended, or no upstream could take it. */
    recordDrop(): void {
        this.context.dependencies.hedging?.onHedge("dropped");
    }

    /** Records that a hedge has taken the place of the attempt that it was started for. */
    recordTakeover(hedged: RunningAttempt | undefined, hedge: RunningAttempt): void {
        this.context.dependencies.hedging?.onHedge("won");
        this.log("hedge took over the call", hedged, hedge);
    }

    /** Records how long an attempt took to answer. Hedges are left out: their upstreams were not slow when they lose. */
    recordResult(running: RunningAttempt, result: AttemptResult): void {
        const { service, request: { route }, dependencies: { hedging, scheduler } } = this.context;
        if (hedging === undefined || !this.isHedgeable) {
            return;
        }
        const answeredMs = route.kind === "stream" ? running.firstEventMs : running.headMs;
        const isAnswered = result.kind === "forwarded" || result.kind === "held" && result.answer.status < 500 ||
            route.kind === "stream" && answeredMs !== undefined;
        const wasSlow = result.kind === "cancelled" && slowReasons.includes(result.reason);
        const endMs = answeredMs !== undefined && (isAnswered || wasSlow) ? answeredMs : wasSlow ? scheduler.nowMs() : undefined;
        if (endMs !== undefined) {
            hedging.policy.recordFirstAnswer(service, route.name, endMs - running.sentMs, computeExpectedMs(running));
        }
    }

    /** A stream is hedged before its first event only, so that the events of two runs are never mixed. */
    private get isHedgeable(): boolean {
        const { callerResponse, request: { route } } = this.context;
        return callerResponse.framer.eventCount === 0 && mayRepeatCall(route, 1, true);
    }

    private log(message: string, hedged: RunningAttempt | undefined, hedge: RunningAttempt): void {
        const { request, dependencies: { scheduler } } = this.context;
        log(message, {
            requestId: request.call.requestId,
            route: request.route.name,
            upstream: hedged?.placement.upstream.id,
            hedge: hedge.placement.upstream.id,
            waitedMs: hedged && Math.round(scheduler.nowMs() - hedged.sentMs),
        });
    }
}

/** Time that the first answer of an attempt was expected to take when it was placed; 0 for a call without a prompt. */
function computeExpectedMs({ placement }: RunningAttempt): number {
    return placement.waitMs + placement.readMs;
}
