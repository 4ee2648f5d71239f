import type { Placement } from "../../core/relay/Placement.js";
import { createLogger } from "../logs/createLogger.js";
import { AttemptEvidence } from "./AttemptEvidence.js";
import type { AttemptResult } from "./AttemptResult.js";
import type { BufferedResponse } from "./BufferedResponse.js";
import { CallAttempts } from "./CallAttempts.js";
import type { CallContext } from "./CallContext.js";
import { CallEnd } from "./CallEnd.js";
import { CallHedging } from "./CallHedging.js";
import { CallPlacer } from "./CallPlacer.js";
import { CallQuarantine } from "./CallQuarantine.js";
import { CallRetries } from "./CallRetries.js";
import { CallRun } from "./CallRun.js";
import { cancelReasons } from "./cancelReasons.js";
import { computeRemainingMs } from "./computeRemainingMs.js";
import { createCallContext } from "./createCallContext.js";
import type { RelayDependencies } from "./RelayDependencies.js";
import type { RelayRequest } from "./RelayRequest.js";

const log = createLogger("relay");

/** Handles one call from its arrival to the end of its response: places it, sends it, and retries it where that is allowed. */
export class RelayCallHandler {
    private readonly context: CallContext;
    private readonly end: CallEnd;
    private readonly placer: CallPlacer;
    private readonly retries: CallRetries;
    private readonly quarantine: CallQuarantine;
    private readonly hedging: CallHedging;
    private readonly attempts: CallAttempts;

    constructor(dependencies: RelayDependencies, request: RelayRequest) {
        this.context = createCallContext(dependencies, request);
        this.end = new CallEnd(this.context);
        this.placer = new CallPlacer(this.context);
        this.retries = new CallRetries(this.context, this.placer);
        this.quarantine = new CallQuarantine(this.context);
        this.hedging = new CallHedging(this.context, this.placer, this.retries);
        this.attempts = new CallAttempts(this.context, {
            placer: this.placer,
            retries: this.retries,
            hedging: this.hedging,
            quarantine: this.quarantine,
            evidence: new AttemptEvidence(this.context),
            run: new CallRun(this.context),
            end: this.end,
        });
    }

    /** Resolves when the caller has been answered or has disconnected. */
    async run(): Promise<void> {
        const { request, service, dependencies: { scheduler, retryBudget } } = this.context;
        const callEnd = new AbortController();
        const onDisconnect = () => {
            if (request.route.kind !== "once") {
                this.attempts.abortCurrent(cancelReasons.callerDisconnected);
            }
        };
        request.disconnectSignal.addEventListener("abort", onDisconnect, { once: true });
        scheduler.after(Math.max(0, computeRemainingMs(this.context)), () => {
            this.attempts.abortCurrent(cancelReasons.deadlineExceeded);
        }, callEnd.signal);
        const onExit = () => {
            this.attempts.abortCurrent(cancelReasons.vmStopping);
        };
        request.exitSignal.addEventListener("abort", onExit, { once: true });
        request.outgoing.on("drain", () => {
            this.attempts.resumeCurrent();
        });
        retryBudget(service).recordFirstAttempt();
        this.hedging.recordCall();
        try {
            await this.tryUntilAnswered();
        }
        finally {
            callEnd.abort();
            request.disconnectSignal.removeEventListener("abort", onDisconnect);
            request.exitSignal.removeEventListener("abort", onExit);
            this.reportEnd();
        }
    }

    private async tryUntilAnswered(): Promise<void> {
        const { disconnectSignal, exitSignal } = this.context.request;
        while (!disconnectSignal.aborted) {
            if (exitSignal.aborted) {
                this.end.endAtExit();
                return;
            }
            if (computeRemainingMs(this.context) <= 0) {
                this.end.endAtDeadline();
                return;
            }
            const admission = this.quarantine.admit(this.end.outcome === "not-run");
            if (admission.kind === "quarantined") {
                this.end.endQuarantined(admission.partId, admission.retryAfterMs, cancelReasons.partQuarantined);
                return;
            }
            const chosen = await this.placer.choose();
            if (disconnectSignal.aborted) {
                return;
            }
            if (computeRemainingMs(this.context) <= 0) {
                this.end.endAtDeadline();
                return;
            }
            if (chosen.kind === "paused") {
                this.end.endPaused(chosen.retryAfterMs);
                return;
            }
            if (chosen.kind === "refused") {
                this.end.endUnadmitted(chosen.refusal);
                return;
            }
            if (chosen.kind === "no-upstream") {
                this.end.endWithoutUpstream();
                return;
            }
            const { result, running } = await this.attempts.send(chosen.placement);
            await running.crashCheck;
            if (!this.handleResult(result, running.placement)) {
                return;
            }
        }
    }

    /** Returns whether the call is to be retried after the result of an attempt; if not, ends the response to the caller. */
    private handleResult(result: AttemptResult, placement: Placement): boolean {
        const { callerResponse, request } = this.context;
        switch (result.kind) {
            case "forwarded":
                if (callerResponse.framer.canEnd) {
                    this.end.endForwarded();
                    return false;
                }
                return this.repeatOr("broken", () => {
                    callerResponse.abort("the stream ended in the middle of an event, or before the last one that the caller has");
                });
            case "held":
                return this.handleResponse(result.answer);
            case "not-sent":
                if (this.retries.mayRetryUndelivered()) {
                    return true;
                }
                this.end.endWithoutUpstream();
                return false;
            case "not-run":
                if (result.isWrongUpstream ? this.retries.mayRetryUndelivered() : this.retries.mayRetryRefused()) {
                    return true;
                }
                this.end.endRefused(placement.upstream.id, result.retryAfterMs);
                return false;
            case "broken":
                return this.repeatOr("broken", () => {
                    this.end.endAfterFailure(result.reason);
                });
            case "cancelled":
                if (request.disconnectSignal.aborted) {
                    return false;
                }
                if (result.reason === cancelReasons.deadlineExceeded) {
                    this.end.endAtDeadline();
                    return false;
                }
                if (result.reason === cancelReasons.vmStopping) {
                    this.end.endAtExit();
                    return false;
                }
                if (result.reason === cancelReasons.partQuarantined && this.end.outcome === "not-run") {
                    return true;
                }
                return this.repeatOr("silent", () => {
                    this.end.endAfterFailure(result.reason);
                });
        }
    }

    private handleResponse(response: BufferedResponse): boolean {
        const { callerResponse } = this.context;
        if (callerResponse.hasSentHead) {
            return this.repeatOr("upstream-error", () => {
                callerResponse.abort(`the upstream did not resume the stream but answered with status ${response.status}`);
            });
        }
        if (response.status < 500) {
            this.end.deliver(response);
            return false;
        }
        this.end.keepFailedResponse(response);
        return this.repeatOr("upstream-error", () => {
            this.end.deliver(response);
        });
    }

    private repeatOr(reason: string, endCall: () => void): boolean {
        if (this.retries.mayRepeat(reason)) {
            this.context.callerResponse.framer.resume();
            return true;
        }
        endCall();
        return false;
    }

    private reportEnd(): void {
        const { summary, callerResponse, dependencies, request } = this.context;
        const { call, route, customer, arrivedMs, disconnectSignal } = request;
        const totalMs = dependencies.scheduler.nowMs() - arrivedMs;
        summary.outcome = this.end.outcome;
        const isAbandoned = disconnectSignal.aborted && !summary.isComplete;
        dependencies.observer.requestEnded({
            ...summary,
            requestId: call.requestId,
            customer: customer?.name ?? "",
            serviceClass: route.name,
            totalMs,
            isAbandoned,
        });
        log("ended", {
            requestId: call.requestId,
            route: route.name,
            status: summary.status,
            outcome: summary.outcome,
            error: summary.errorCode,
            upstream: summary.upstreamId,
            attempts: summary.attempts,
            firstMs: summary.firstTokenMs === undefined ? undefined : Math.round(summary.firstTokenMs),
            maxGapMs: summary.maxTokenGapMs === undefined ? undefined : Math.round(summary.maxTokenGapMs),
            totalMs: Math.round(totalMs),
            events: callerResponse.framer.eventCount,
            isAbandoned,
        });
    }
}
