import { err, ok, type Result } from "neverthrow";
import type { IncomingHttpHeaders } from "node:http";
import { mayForwardStatus } from "../../core/relay/mayForwardStatus.js";
import type { Placement } from "../../core/relay/Placement.js";
import { createLogger } from "../logs/createLogger.js";
import type { AttemptEvidence } from "./AttemptEvidence.js";
import type { AttemptResult } from "./AttemptResult.js";
import type { CallContext } from "./CallContext.js";
import type { CallEnd } from "./CallEnd.js";
import type { CallHedging } from "./CallHedging.js";
import type { CallPlacer } from "./CallPlacer.js";
import type { CallQuarantine } from "./CallQuarantine.js";
import type { CallRetries } from "./CallRetries.js";
import type { CallRun } from "./CallRun.js";
import { cancelReasons } from "./cancelReasons.js";
import { computeSilenceMs } from "./computeSilenceMs.js";
import { isFinalResult } from "./isFinalResult.js";
import { relayLimits } from "./relayLimits.js";
import type { RunningAttempt } from "./RunningAttempt.js";
import { startAttempt } from "./startAttempt.js";

const log = createLogger("relay");
const firstErrorStatus = 400;
const firstServerErrorStatus = 500;
const separateResponseReason = "the upstream did not resume the stream but sent a separate response";

/** The result with which a call is left after an attempt and its replacements. */
interface EndedAttempt {
    readonly result: AttemptResult;
    readonly running: RunningAttempt;
}

interface CallParts {
    readonly placer: CallPlacer;
    readonly retries: CallRetries;
    readonly hedging: CallHedging;
    readonly quarantine: CallQuarantine;
    readonly evidence: AttemptEvidence;
    readonly run: CallRun;
    readonly end: CallEnd;
}

/** Runs the attempts of one call, one at a time except while an upstream is silent, and forwards the response of the current one. */
export class CallAttempts {
    private current: RunningAttempt | undefined;
    /** Runs on another upstream while that of the current attempt is silent, and takes its place once that upstream has taken the call. */
    private replacement: RunningAttempt | undefined;
    private isPlacingReplacement = false;
    /** The replacement, if it is a hedge: the upstream of the current attempt is slow to answer, not silent. */
    private hedge: RunningAttempt | undefined;
    /** Head of a stream from the hedge, sent when the hedge takes over: with the first bytes that follow it. */
    private hedgeHead: { readonly status: number; readonly headers: IncomingHttpHeaders; } | undefined;

    constructor(private readonly context: CallContext, private readonly parts: CallParts) {}

    /** Runs an attempt, and replacements of it while its upstream is silent, until one of them ends the call or all have failed. */
    async send(placement: Placement): Promise<EndedAttempt> {
        const { callerResponse } = this.context;
        this.current = this.start(placement);
        for (;;) {
            const running: RunningAttempt = this.current;
            const result = await running.result;
            if (this.current !== running) {
                continue;
            }
            const { replacement } = this;
            if (replacement === undefined || isFinalResult(result, callerResponse)) {
                this.cancelReplacement();
                this.current = undefined;
                return { result, running };
            }
            if (result.kind === "held" && !callerResponse.hasSentHead) {
                this.parts.end.keepFailedResponse(result.answer);
            }
            this.takeOver(replacement);
        }
    }

    abortCurrent(reason: string): void {
        this.current?.attempt.abort(reason);
    }

    /** Lets the upstream go on after the caller has read what was buffered for it. */
    resumeCurrent(): void {
        if (this.current !== undefined) {
            this.current.lastReceivedMs = this.context.dependencies.scheduler.nowMs();
            this.current.attempt.resume();
        }
    }

    private start(placement: Placement): RunningAttempt {
        const { placer, retries, hedging, quarantine, evidence, run, end } = this.parts;
        placer.recordAttempt(placement.upstream.id);
        const running = startAttempt(this.context, placement, {
            onOwnHead: (status, headers, isAnswer) => {
                running.headMs = this.context.dependencies.scheduler.nowMs();
                evidence.recordHead(running, status, headers);
                if (isAnswer) {
                    run.recordAnswerHead(running);
                }
            },
            onHead: (status, headers, isStreamed) => this.receiveHead(running, status, headers, isStreamed),
            onBytes: bytes => this.forward(running, bytes),
        });
        void running.result.then(result => {
            end.recordResult(result);
            retries.recordResult(result);
            evidence.recordResult(running, result);
            run.recordResult(running, result);
            if (running !== this.hedge) {
                hedging.recordResult(running, result);
            }
        });
        this.watchForSilence(running);
        hedging.watch(running, () => {
            void this.startReplacement(running, true);
        });
        quarantine.watch(running);
        return running;
    }

    /** Receives the head of a response that is to be forwarded. The error says why that response is not forwarded after all. */
    private receiveHead(running: RunningAttempt, status: number, headers: IncomingHttpHeaders, isStreamed: boolean): Result<void, string> {
        const { callerResponse, dependencies, request } = this.context;
        running.lastReceivedMs = dependencies.scheduler.nowMs();
        if (!mayForwardStatus(status, request.route)) {
            return err(`the upstream ran the call but answered with status ${status}, which says that it did not`);
        }
        if (running === this.replacement) {
            if (running === this.hedge && status >= firstErrorStatus && status < firstServerErrorStatus) {
                // The upstream has answered, so that its attempt does not end as broken.
                running.attempt.abort(cancelReasons.replacementNotNeeded);
            }
            if (this.isErrorOfReplacement(running, status) || !callerResponse.canFollow(isStreamed)) {
                return err(separateResponseReason);
            }
            if (running === this.hedge && isStreamed) {
                // Engines send the head before the prompt is read, so that it does not show which upstream will be first.
                this.hedgeHead = { status, headers };
                return ok();
            }
            this.takeOver(running);
        }
        return callerResponse.sendHead(status, headers, isStreamed) ? ok() : err(separateResponseReason);
    }

    /** Forwards bytes of a response. Returns false on backpressure from the caller; the error says why the response is broken. */
    private forward(running: RunningAttempt, bytes: Buffer): Result<boolean, string> {
        const { callerResponse, dependencies } = this.context;
        const nowMs = dependencies.scheduler.nowMs();
        if (running === this.replacement && this.hedgeHead !== undefined) {
            if (!callerResponse.canFollow(true)) {
                return err(separateResponseReason);
            }
            this.takeOver(running);
        }
        if (running !== this.current) {
            running.recordBytes(bytes.length, true, nowMs);
            return ok(true);
        }
        const isWritable = callerResponse.forward(bytes);
        running.recordBytes(bytes.length, isWritable !== undefined || !callerResponse.isStreamed, nowMs);
        if (isWritable !== undefined) {
            this.cancelReplacement();
            if (callerResponse.isStreamed) {
                this.parts.evidence.recordEvent(running);
                this.parts.run.recordEvent();
            }
        }
        if (callerResponse.framer.isOutOfPlace) {
            return err("the upstream resumed the stream with an event without an id");
        }
        return callerResponse.framer.isTooLong
            ? err("the upstream sent an event larger than 1 MiB; check that it ends events with an empty line")
            : ok(isWritable ?? true);
    }

    /** Starts a replacement for an attempt whose upstream has been silent for too long, if the call may be repeated. */
    private watchForSilence(running: RunningAttempt): void {
        const { request: { route }, dependencies: { scheduler } } = this.context;
        if (route.kind === "repeatable") {
            scheduler.after(route.timeoutMs * relayLimits.attemptTimeoutShare, () => {
                if (!running.attempt.hasResponseHead) {
                    void this.startReplacement(running, false);
                }
            }, running.endSignal);
        }
        else if (route.kind === "stream" && route.isResumable) {
            scheduler.every(relayLimits.streamIdleTimeoutMs / 4, () => {
                if (computeSilenceMs(running, this.context) > relayLimits.streamIdleTimeoutMs) {
                    void this.startReplacement(running, false);
                }
            }, running.endSignal);
        }
    }

    /**
     * Sends the call to another upstream as well. A sound upstream may fall silent for a moment, so the silent attempt is kept until the
     * other upstream has taken the call: it may refuse it, or not be reachable. A hedge is a replacement for an attempt that is only slow.
     */
    private async startReplacement(running: RunningAttempt, isHedge: boolean): Promise<void> {
        const { hedging, retries } = this.parts;
        const isUnderWay = this.replacement !== undefined || this.isPlacingReplacement;
        if (this.current !== running || isUnderWay || !(isHedge ? hedging.admit(running) : retries.mayRepeat("silent"))) {
            return;
        }
        const { lastReceivedMs } = running;
        this.isPlacingReplacement = true;
        const chosen = await this.parts.placer.choose().catch((error: unknown) => {
            log("placing a replacement failed unexpectedly; keeping the current attempt", {
                requestId: this.context.request.call.requestId,
                error: String(error),
            });
            return undefined;
        });
        this.isPlacingReplacement = false;
        // Engines send the head before the prompt is read, so that a head does not show that an attempt is no longer slow.
        const isStillDue = isHedge ? !running.hasBegun(this.context.request.route.kind) : running.lastReceivedMs === lastReceivedMs;
        if (chosen?.kind !== "placed" || this.current !== running || running.endSignal.aborted || !isStillDue) {
            if (isHedge) {
                hedging.recordDrop();
            }
            return;
        }
        const replacement = this.start(chosen.placement);
        this.replacement = replacement;
        this.hedge = isHedge ? replacement : undefined;
        this.hedgeHead = undefined;
        if (isHedge) {
            hedging.recordStart(running, replacement);
        }
        void replacement.result.then(result => {
            this.endReplacement(replacement, result);
        });
        if (this.context.request.route.kind === "stream") {
            this.takeOverUnlessRefused(replacement);
        }
    }

    /** Two upstreams do not work on one stream for longer than a refusal takes to arrive, counted from the sending. */
    private takeOverUnlessRefused(replacement: RunningAttempt, sentForMs = 0): void {
        this.context.dependencies.scheduler.after(relayLimits.refusalCheckIntervalMs, () => {
            if (this.replacement !== replacement) {
                return;
            }
            const nowSentForMs = replacement.attempt.isSent ? sentForMs + relayLimits.refusalCheckIntervalMs : 0;
            if (nowSentForMs >= relayLimits.refusalTimeoutMs) {
                this.takeOver(replacement);
            }
            else {
                this.takeOverUnlessRefused(replacement, nowSentForMs);
            }
        }, replacement.endSignal);
    }

    private endReplacement(replacement: RunningAttempt, result: AttemptResult): void {
        if (this.replacement !== replacement) {
            return;
        }
        const isError = result.kind === "held" && this.isErrorOfReplacement(replacement, result.answer.status);
        if (result.kind !== "cancelled" && !isError && isFinalResult(result, this.context.callerResponse)) {
            this.takeOver(replacement);
            return;
        }
        if (result.kind === "held" && result.answer.status < firstServerErrorStatus && !this.context.callerResponse.hasSentHead) {
            this.parts.end.keepFailedResponse(result.answer);
        }
        this.replacement = undefined;
        log("replacement of a silent or slow attempt failed; keeping the current attempt", {
            requestId: this.context.request.call.requestId,
            upstream: this.current?.placement.upstream.id,
            replacement: replacement.placement.upstream.id,
            end: result.kind,
        });
    }

    /** A client error answers a call whose upstream is silent. An attempt that is only slow may still succeed, so a hedge has to. */
    private isErrorOfReplacement(replacement: RunningAttempt, status: number): boolean {
        return status >= (replacement === this.hedge ? firstErrorStatus : firstServerErrorStatus);
    }

    private takeOver(replacement: RunningAttempt): void {
        const silent = this.current;
        const isHedge = replacement === this.hedge;
        this.current = replacement;
        this.replacement = undefined;
        this.context.callerResponse.framer.resume();
        this.context.summary.upstreamId = replacement.placement.upstream.id;
        if (isHedge) {
            this.parts.hedging.recordTakeover(silent, replacement);
        }
        silent?.attempt.abort(isHedge ? cancelReasons.hedgeTookOver : cancelReasons.upstreamSilent);
        if (isHedge && this.hedgeHead !== undefined) {
            this.context.callerResponse.sendHead(this.hedgeHead.status, this.hedgeHead.headers, true);
        }
    }

    private cancelReplacement(): void {
        this.replacement?.attempt.abort(cancelReasons.replacementNotNeeded);
        this.replacement = undefined;
        this.context.summary.upstreamId = this.current?.placement.upstream.id;
    }
}
