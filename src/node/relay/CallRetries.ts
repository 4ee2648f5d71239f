import { mayRepeatCall } from "../../core/relay/mayRepeatCall.js";
import { createLogger } from "../logs/createLogger.js";
import type { AttemptResult } from "./AttemptResult.js";
import type { CallContext } from "./CallContext.js";
import type { CallPlacer } from "./CallPlacer.js";
import { computeRemainingMs } from "./computeRemainingMs.js";
import { relayLimits } from "./relayLimits.js";

const log = createLogger("relay");

/** Decides whether one call is sent again, within its route's number of attempts and the retry budget of its service. */
export class CallRetries {
    private undeliveredAttempts = 0;
    private hasLoggedExhaustedBudget = false;

    constructor(private readonly context: CallContext, private readonly placer: CallPlacer) {}

    /** An attempt that did not reach the intended upstream is none of those that the route allows. */
    recordResult(result: AttemptResult): void {
        if (result.kind === "not-sent" || result.kind === "not-run" && result.isWrongUpstream) {
            this.context.summary.attempts--;
            this.undeliveredAttempts++;
        }
    }

    /** Whether the call may be sent again after an attempt that did not reach the intended upstream. */
    mayRetryUndelivered(): boolean {
        return this.undeliveredAttempts < relayLimits.maxUndeliveredAttempts;
    }

    /** Whether the call may be sent to another upstream after one has refused it; takes the retry out of the budget. */
    mayRetryRefused(): boolean {
        const { summary, request } = this.context;
        return summary.attempts < request.route.maxAttempts && this.spendRetry("not-run");
    }

    /** Whether the call may be sent to another upstream although it may have run; takes the retry out of the budget. */
    mayRepeat(reason: string): boolean {
        return this.isRepeatable && this.spendRetry(reason);
    }

    /** Whether the call may be sent to another upstream although it may have run, apart from the retry budget. */
    get isRepeatable(): boolean {
        const { request, summary, callerResponse, sharedPartIds, dependencies } = this.context;
        const isWaitedFor = !request.disconnectSignal.aborted && computeRemainingMs(this.context) > 0;
        return isWaitedFor && mayRepeatCall(request.route, summary.attempts, callerResponse.canContinue) && this.placer.hasAlternative() &&
            !dependencies.partGuard.isQuarantined(sharedPartIds);
    }

    private spendRetry(reason: string): boolean {
        const { service, request, summary, callerResponse, dependencies } = this.context;
        const isAllowed = dependencies.retryBudget(service).trySpend();
        if (!isAllowed && this.hasLoggedExhaustedBudget) {
            return false;
        }
        this.hasLoggedExhaustedBudget ||= !isAllowed;
        log(isAllowed ? "retrying the call" : "not retrying the call: retry budget is exhausted", {
            requestId: request.call.requestId,
            service,
            reason,
            attempts: summary.attempts,
            lastEventId: callerResponse.framer.lastEventId,
        });
        return isAllowed;
    }
}
