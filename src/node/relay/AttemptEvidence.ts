import type { IncomingHttpHeaders } from "node:http";
import { computePromptSize } from "../../core/relay/computePromptSize.js";
import { enginePromptLimits } from "../../core/relay/enginePromptLimits.js";
import { estimatePrefillMs } from "../../core/relay/estimatePrefillMs.js";
import { parseRetryAfterMs } from "../../core/relay/parseRetryAfterMs.js";
import { createLogger } from "../logs/createLogger.js";
import type { AttemptResult } from "./AttemptResult.js";
import type { CallContext } from "./CallContext.js";
import { cancelReasons } from "./cancelReasons.js";
import { computeSilenceMs } from "./computeSilenceMs.js";
import { isFinalResult } from "./isFinalResult.js";
import { relayLimits } from "./relayLimits.js";
import type { RunningAttempt } from "./RunningAttempt.js";

const { minLongPromptTokens } = enginePromptLimits;
const serviceUnavailable = 503;
const log = createLogger("relay");

/** Records what the attempts of one call show about their upstreams: health, speed, and whether prompt parts crash them. */
export class AttemptEvidence {
    constructor(private readonly context: CallContext) {}

    /** A response says whether its upstream is leaving, and one with which it turns a call away, for how long it wants no others. */
    recordHead({ placement: { upstream } }: RunningAttempt, status: number, headers: IncomingHttpHeaders): void {
        const { dependencies: { availability, dialect, scheduler }, request } = this.context;
        const { requestId } = request.call;
        const nowMs = scheduler.nowMs();
        if (dialect.isLeaving(headers) && availability.recordLeaving(upstream)) {
            log("upstream is leaving; it gets no further calls", { upstream: upstream.id, requestId });
        }
        if (status !== serviceUnavailable) {
            if (availability.recordAnswer(upstream, nowMs)) {
                log("upstream has answered again after its pause", { upstream: upstream.id, requestId });
            }
            return;
        }
        const retryAfterMs = parseRetryAfterMs(headers["retry-after"]);
        if (retryAfterMs.isErr()) {
            log("upstream sent an unusable retry delay; ignoring it", { upstream: upstream.id, requestId, reason: retryAfterMs.error });
        }
        else if (retryAfterMs.value !== undefined && retryAfterMs.value > 0) {
            const pauseMs = availability.recordPause(upstream, retryAfterMs.value, nowMs);
            log("upstream asked for a pause; calls go elsewhere until it is over", {
                upstream: upstream.id,
                requestId,
                retryAfterMs: retryAfterMs.value,
                pauseMs: Math.round(pauseMs),
            });
        }
    }

    /** The first event of an attempt shows that its prefill is complete; the gap before each later one shows how fast the upstream decodes. */
    recordEvent(running: RunningAttempt): void {
        const { dependencies, callerResponse } = this.context;
        const nowMs = dependencies.scheduler.nowMs();
        if (running.firstEventMs === undefined) {
            running.recordFirstEvent(nowMs);
            return;
        }
        dependencies.loadTracker.eventGaps.recordGap(running.placement.upstream.id, callerResponse.lastEventGapMs, nowMs);
        this.recordSpeed(running, callerResponse.lastEventGapMs, nowMs);
        this.recordAnswer(running);
    }

    /**
     * Records a gap when the next event follows, as the last event of a stream may hold fewer tokens. The second event of a stream shows
     * that its first one was not the end of an error.
     */
    private recordSpeed(running: RunningAttempt, gapMs: number, nowMs: number): void {
        const { dependencies: { loadTracker: { engineSpeeds } }, request } = this.context;
        const { placement, firstEventMs = nowMs, sentMs, lastGapMs } = running;
        if (engineSpeeds === undefined || request.call.prompt === undefined) {
            return;
        }
        running.lastGapMs = gapMs;
        const { ownTokens, sharedTokens } = computePromptSize(request.call);
        if (lastGapMs !== undefined) {
            engineSpeeds.recordGap(placement.upstream, ownTokens + sharedTokens >= minLongPromptTokens, lastGapMs, nowMs);
        }
        else if (placement.reason === "cached-prefix" && placement.waitMs === 0) {
            engineSpeeds.recordFirstEvent(placement.upstream, firstEventMs - sentMs, estimatePrefillMs(ownTokens, sharedTokens), nowMs);
        }
    }

    recordResult(running: RunningAttempt, result: AttemptResult): void {
        this.recordHealth(running, result);
        this.reportBrokenPrompt(running, result);
    }

    private recordHealth(running: RunningAttempt, result: AttemptResult): void {
        const { dependencies: { health, scheduler }, request: { call }, callerResponse } = this.context;
        const { upstream } = running.placement;
        if (result.kind === "forwarded" || result.kind === "held") {
            if (isFinalResult(result, callerResponse) && (result.kind === "forwarded" || result.answer.status < 400)) {
                this.recordAnswer(running);
            }
            if (health.recordSuccess(upstream.id)) {
                log("upstream recovered", { upstream: upstream.id, requestId: call.requestId });
            }
            return;
        }
        if (!this.isUpstreamFailure(running, result)) {
            return;
        }
        const avoidMs = health.recordFailure(upstream.id, scheduler.nowMs());
        log("upstream failed", {
            upstream: upstream.id,
            requestId: call.requestId,
            end: result.kind,
            reason: describeFailure(result),
            hadFirstEvent: running.firstEventMs !== undefined,
            avoidMs,
        });
    }

    /** An attempt aborted at the call's deadline, or for its hedge, counts against its upstream only when that was silent for long enough. */
    private isUpstreamFailure(running: RunningAttempt, result: FailedResult): boolean {
        switch (result.kind) {
            case "cancelled":
                return result.reason === cancelReasons.upstreamSilent || wasStoppedForTime(result.reason) &&
                        computeSilenceMs(running, this.context) >= relayLimits.minFailureSilenceMs;
            case "not-run":
                return result.isWrongUpstream || result.bodyFailure !== undefined;
            default:
                return true;
        }
    }

    /** A call that broke before its first event may have crashed its upstream, and would crash the next one too. */
    private reportBrokenPrompt(running: RunningAttempt, result: AttemptResult): void {
        const { dependencies, request, sharedPartIds } = this.context;
        if (result.kind === "broken" && !running.hasBegun(request.route.kind) && sharedPartIds.length > 0) {
            const call = { partIds: sharedPartIds, sentMs: running.sentMs };
            running.crashCheck = dependencies.partGuard.recordBrokenCall(running.placement.upstream, call);
        }
    }

    /** Only a second event, or a whole response, shows that the upstream did not crash over the prompt. */
    private recordAnswer(running: RunningAttempt): void {
        if (!running.hasAnswered) {
            running.hasAnswered = true;
            const { dependencies, sharedPartIds, service } = this.context;
            const begunMs = running.firstEventMs ?? dependencies.scheduler.nowMs();
            dependencies.partGuard.recordAnswer(sharedPartIds, service, begunMs);
        }
    }
}

function wasStoppedForTime(reason: string): boolean {
    return reason === cancelReasons.deadlineExceeded || reason === cancelReasons.hedgeTookOver;
}

type FailedResult = Extract<AttemptResult, { kind: "not-sent" | "not-run" | "broken" | "cancelled"; }>;

function describeFailure(result: FailedResult): string {
    return result.kind === "not-run" ? result.bodyFailure ?? "its address now belongs to another upstream" : result.reason;
}
