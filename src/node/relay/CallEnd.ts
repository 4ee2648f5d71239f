import { mayForwardStatus } from "../../core/relay/mayForwardStatus.js";
import type { PlacementRefusal } from "../../core/relay/PlacementRefusal.js";
import type { Outcome } from "../../schema/Outcome.js";
import { createLogger } from "../logs/createLogger.js";
import type { AttemptResult } from "./AttemptResult.js";
import type { BufferedResponse } from "./BufferedResponse.js";
import type { CallContext } from "./CallContext.js";
import { cancelReasons } from "./cancelReasons.js";
import { relayLimits } from "./relayLimits.js";

const log = createLogger("relay");

/** Ends the response to the caller of one call, and tells it whether the call has run. */
export class CallEnd {
    /** Whether an upstream has run the call, as far as this VM knows. */
    private knownOutcome: Outcome = "not-run";
    /** Error response of an upstream, which the caller gets if no retry brings a better one. */
    private failedResponse: BufferedResponse | undefined;

    constructor(private readonly context: CallContext) {}

    get outcome(): Outcome {
        return this.knownOutcome;
    }

    /** Records what an attempt shows about whether the call has run. */
    recordResult(result: AttemptResult): void {
        if (result.kind === "forwarded" || result.kind === "held") {
            this.knownOutcome = "ran";
        }
        else if (result.kind === "broken" || result.kind === "cancelled" && result.isSent) {
            this.knownOutcome = "unknown";
        }
    }

    /** Keeps an error response for the case that no other attempt is answered. */
    keepFailedResponse(response: BufferedResponse): void {
        this.failedResponse = response;
    }

    /** Ends a response that has been forwarded completely. */
    endForwarded(): void {
        this.context.callerResponse.end();
        this.knownOutcome = "ran";
    }

    /** Ends a call with the response of an upstream that has run it. */
    deliver(response: BufferedResponse): void {
        const { callerResponse, request, summary } = this.context;
        this.knownOutcome = "ran";
        if (mayForwardStatus(response.status, request.route)) {
            callerResponse.sendBuffered(response);
            return;
        }
        const { status } = response;
        log("upstream ran the call but answered with a status that says that it did not; the caller gets 502", {
            requestId: request.call.requestId,
            upstream: summary.upstreamId,
            status,
        });
        callerResponse.refuse({
            status: 502,
            reason: "upstream_failed",
            outcome: "ran",
            message: `the upstream ran the call and answered with status ${status}; look at what it did before sending the call again`,
        });
    }

    endAtDeadline(): void {
        if (this.abortOrDeliverFailed("deadline exceeded")) {
            return;
        }
        const isNotRun = this.knownOutcome === "not-run";
        this.context.callerResponse.refuse({
            status: isNotRun ? 503 : 504,
            reason: "time_limit",
            outcome: this.knownOutcome,
            message: isNotRun
                ? "no upstream accepted the call before its deadline"
                : "no upstream answered the call before its deadline",
        });
    }

    endWithoutUpstream(): void {
        if (this.abortOrDeliverFailed("no upstream is left to resume the stream")) {
            return;
        }
        if (this.knownOutcome !== "not-run") {
            this.endAfterFailure("no untried upstream is left");
            return;
        }
        this.context.callerResponse.refuse({
            status: 503,
            reason: "no_upstream",
            outcome: "not-run",
            message: `no upstream of service ${this.context.service} can be reached; retry later`,
            retryAfterMs: relayLimits.retryAfterMs,
        });
    }

    /** Ends a call that is unanswered when this VM exits. */
    endAtExit(): void {
        if (this.knownOutcome !== "not-run") {
            this.endAfterFailure(cancelReasons.vmStopping);
            return;
        }
        this.context.callerResponse.refuse({
            status: 503,
            reason: "stopping",
            outcome: "not-run",
            message: "this VM is stopping; send the call again",
        });
    }

    /** Ends a call of which all upstreams that are left want no calls for a time. */
    endPaused(retryAfterMs: number): void {
        if (this.knownOutcome !== "not-run" || this.failedResponse !== undefined) {
            this.endWithoutUpstream();
            return;
        }
        this.context.callerResponse.refuse({
            status: 503,
            reason: "upstreams_paused",
            outcome: "not-run",
            message: `all upstreams of service ${this.context.service} have asked for a pause; retry after it`,
            retryAfterMs,
        });
    }

    /** Ends a call for which there is too little room. */
    endUnadmitted({ refusedFor, retryAfterMs }: PlacementRefusal): void {
        const { request, service, callerResponse } = this.context;
        log("call refused: it is not expected to begin before its caller stops waiting", {
            requestId: request.call.requestId,
            service,
            customer: request.customer?.name,
            reason: refusedFor,
            retryAfterMs: Math.round(retryAfterMs),
        });
        if (this.knownOutcome !== "not-run") {
            this.endAfterFailure("there is too little room to send the call again");
            return;
        }
        callerResponse.refuse({
            status: 503,
            reason: "overloaded",
            outcome: "not-run",
            message: `service ${service} has no room for the call before its deadline; retry when room is expected`,
            retryAfterMs,
        });
    }

    /** Ends a call that may have run. */
    endAfterFailure(reason: string): void {
        if (this.abortOrDeliverFailed(reason)) {
            return;
        }
        this.context.callerResponse.refuse({
            status: 502,
            reason: "upstream_broken",
            outcome: "unknown",
            message: `${reason}; the call may have run`,
        });
    }

    /** Ends a call that its last upstream has refused. */
    endRefused(upstreamId: string, retryAfterMs: number | undefined): void {
        if (this.knownOutcome !== "not-run") {
            this.endAfterFailure("the last upstream refused the call after an earlier attempt failed");
            return;
        }
        this.context.callerResponse.refuse({
            status: 503,
            reason: "upstream_busy",
            outcome: "not-run",
            message: `upstream ${upstreamId} is busy and did not run the call; retry later`,
            retryAfterMs: retryAfterMs ?? relayLimits.retryAfterMs,
        });
    }

    endQuarantined(partId: string, retryAfterMs: number, reason: string): void {
        if (this.knownOutcome !== "not-run") {
            this.endAfterFailure(reason);
            return;
        }
        this.context.callerResponse.refuse({
            status: 503,
            reason: "quarantined_prompt_part",
            outcome: "not-run",
            message: `part ${partId} of the prompt has crashed upstreams; calls with it are refused until a probe is answered`,
            retryAfterMs,
        });
    }

    /** Ends a response that has begun, or delivers the error response of an upstream. Returns false when there is neither. */
    private abortOrDeliverFailed(reason: string): boolean {
        const { callerResponse } = this.context;
        if (callerResponse.hasSentHead) {
            callerResponse.abort(reason);
            return true;
        }
        if (this.failedResponse !== undefined) {
            this.deliver(this.failedResponse);
            return true;
        }
        return false;
    }
}
