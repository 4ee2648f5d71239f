import { err, ok, type Result } from "neverthrow";
import type { IncomingHttpHeaders } from "node:http";
import { computeEnginePriority } from "../../core/relay/computeEnginePriority.js";
import { computeTierRank } from "../../core/relay/computeTierRank.js";
import { pickService } from "../../core/relay/pickService.js";
import type { Placement } from "../../core/relay/Placement.js";
import type { Outcome } from "../../schema/Outcome.js";
import { createCallSummary } from "../caller/createCallSummary.js";
import { createLogger } from "../logs/createLogger.js";
import type { AttemptResult } from "./AttemptResult.js";
import type { BufferedResponse } from "./BufferedResponse.js";
import { CallerResponse } from "./CallerResponse.js";
import { isEventStream } from "./isEventStream.js";
import { RelayAttempt } from "./RelayAttempt.js";
import type { RelayDependencies } from "./RelayDependencies.js";
import { relayLimits } from "./relayLimits.js";
import type { RelayRequest } from "./RelayRequest.js";
import { RunningAttempt } from "./RunningAttempt.js";

const log = createLogger("relay");
/** Reasons for which this VM aborts an attempt. */
const deadlineExceeded = "deadline exceeded";
const callerDisconnected = "caller disconnected";
const upstreamSilent = "upstream was silent for too long; another one has taken the call";
const partQuarantined = "a part of its prompt has crashed upstreams and is quarantined";
const replacementNotNeeded = "the attempt that it was to replace went on";

/** The result with which a call is left after an attempt and its replacements. */
interface EndedAttempt {
    readonly result: AttemptResult;
    readonly running: RunningAttempt;
}

/** Handles one call from its arrival to the end of its response: places it, sends it, and retries it where that is allowed. */
export class RelayCallHandler {
    private readonly summary = createCallSummary();
    private readonly deadlineMs: number;
    private readonly triedUpstreamIds = new Set<string>();
    private readonly callerResponse: CallerResponse;
    private readonly service: string;
    /** Shared parts of the prompt; empty for a call without a prompt. */
    private readonly sharedPartIds: readonly string[];
    private isProbe = false;
    private connectFailures = 0;
    /** Whether an upstream has run the call, as far as this VM knows. */
    private outcome: Outcome = "not-run";
    private failedResponse: BufferedResponse | undefined;
    private current: RunningAttempt | undefined;
    /** Runs on another upstream while that of the current attempt is silent, and takes its place once that upstream has taken the call. */
    private replacement: RunningAttempt | undefined;
    private isPlacingReplacement = false;
    private hasLoggedExhaustedBudget = false;

    constructor(private readonly dependencies: RelayDependencies, private readonly request: RelayRequest) {
        const { call, route, arrivedMs } = request;
        const callerTimeoutMs = call.patienceMs === undefined ? Infinity : call.patienceMs - relayLimits.deadlineMarginMs;
        this.deadlineMs = arrivedMs + Math.min(route.timeoutMs, callerTimeoutMs);
        this.callerResponse = new CallerResponse(dependencies, request, this.summary);
        this.service = pickService(route, call.requestId) ?? "";
        this.sharedPartIds = call.prompt?.parts.slice(0, -1).map(part => part.id) ?? [];
        this.summary.service = this.service;
    }

    /** Resolves when the caller has been answered or has disconnected. */
    async run(): Promise<void> {
        const { scheduler } = this.dependencies;
        const callEnd = new AbortController();
        const onDisconnect = () => {
            this.cancelAfterDisconnect();
        };
        this.request.disconnectSignal.addEventListener("abort", onDisconnect, { once: true });
        scheduler.after(Math.max(0, this.deadlineMs - scheduler.nowMs()), () => {
            this.current?.attempt.abort(deadlineExceeded);
        }, callEnd.signal);
        this.request.outgoing.on("drain", () => {
            if (this.current !== undefined) {
                this.current.lastReceivedMs = scheduler.nowMs();
                this.current.attempt.resume();
            }
        });
        this.dependencies.retryBudget(this.service).recordFirstAttempt();
        try {
            await this.tryUntilAnswered();
        }
        finally {
            callEnd.abort();
            this.request.disconnectSignal.removeEventListener("abort", onDisconnect);
            this.reportEnd();
        }
    }

    private async tryUntilAnswered(): Promise<void> {
        while (!this.request.disconnectSignal.aborted) {
            if (this.remainingMs() <= 0) {
                this.endAtDeadline();
                return;
            }
            if (!this.admitParts()) {
                return;
            }
            const placement = await this.choosePlacement();
            if (this.request.disconnectSignal.aborted) {
                return;
            }
            if (this.remainingMs() <= 0) {
                this.endAtDeadline();
                return;
            }
            if (placement === undefined) {
                this.endWithoutUpstream();
                return;
            }
            const ended = await this.send(placement);
            await ended.running.crashCheck;
            if (!this.handleResult(ended.result, ended.running.placement)) {
                return;
            }
        }
    }

    /** Refuses the call if one of its prompt parts is quarantined, unless the call is to probe the part. */
    private admitParts(): boolean {
        if (this.isProbe && this.outcome === "not-run") {
            return true;
        }
        const admission = this.dependencies.partGuard.admit(this.sharedPartIds, this.service, this.request.call.requestId);
        this.isProbe = admission.kind === "probe";
        if (admission.kind !== "quarantined") {
            return true;
        }
        if (this.outcome !== "not-run") {
            this.endAfterFailure(partQuarantined);
            return false;
        }
        this.callerResponse.refuse({
            status: 503,
            reason: "quarantined_prompt_part",
            outcome: "not-run",
            message: `part ${admission.partId} of the prompt has crashed upstreams; calls with it are refused until a probe is answered`,
            retryAfterMs: admission.retryAfterMs,
        });
        return false;
    }

    private remainingMs(): number {
        return this.deadlineMs - this.dependencies.scheduler.nowMs();
    }

    private async choosePlacement(): Promise<Placement | undefined> {
        const { directory, health, placeCall, scheduler } = this.dependencies;
        const nowMs = scheduler.nowMs();
        const available = directory.available(this.service);
        const untried = available.filter(upstream => !this.triedUpstreamIds.has(upstream.id));
        const healthy = untried.filter(upstream => !health.isAvoided(upstream.id, nowMs));
        const candidates = healthy.length > 0 ? healthy : untried;
        return await placeCall({ service: this.service, call: this.request.call, route: this.request.route, available, candidates, nowMs });
    }

    /** Runs an attempt, and replacements of it while its upstream is silent, until one of them ends the call or all have failed. */
    private async send(placement: Placement): Promise<EndedAttempt> {
        this.current = this.startAttempt(placement);
        for (;;) {
            const running: RunningAttempt = this.current;
            const result = await running.result;
            if (this.current !== running) {
                continue;
            }
            const { replacement } = this;
            if (replacement === undefined || this.isFinal(result)) {
                this.cancelReplacement();
                this.current = undefined;
                return { result, running };
            }
            if (result.kind === "held" && !this.callerResponse.hasSentHead) {
                this.failedResponse = result.answer;
            }
            this.takeOver(replacement);
        }
    }

    private startAttempt(placement: Placement): RunningAttempt {
        const { dependencies, request, summary } = this;
        const patienceMs = Math.max(1, Math.floor(this.remainingMs()));
        this.triedUpstreamIds.add(placement.upstream.id);
        summary.upstreamId = placement.upstream.id;
        summary.attempts++;
        summary.queueMs ??= dependencies.scheduler.nowMs() - request.arrivedMs;
        this.logPlacement(placement, patienceMs);
        const attempt = this.createAttempt(placement, patienceMs, {
            onHead: (status, headers, isStreamed) => this.receiveHead(running, status, headers, isStreamed),
            onBytes: bytes => this.forward(running, bytes),
        });
        const running = new RunningAttempt(attempt, placement, dependencies);
        void running.result.then(result => {
            this.recordResult(running, result);
            this.reportBrokenPrompt(running, result);
        });
        this.watchForSilence(running);
        this.watchForQuarantine(running);
        return running;
    }

    private createAttempt(
        { upstream, delay }: Placement,
        patienceMs: number,
        handlers: Pick<ConstructorParameters<typeof RelayAttempt>[0], "onHead" | "onBytes">,
    ): RelayAttempt {
        const { dependencies, request, callerResponse } = this;
        const { call, customer, incoming, body, route } = request;
        return new RelayAttempt({
            call,
            upstream,
            body,
            headers: dependencies.dialect.buildUpstreamHeaders(call, incoming.headers, {
                upstreamId: upstream.id,
                patienceMs,
                customer: customer?.name,
                priority: computeEnginePriority(computeTierRank(request.tier, route.tier), delay, request.routeTable.streamTierRanks),
                lastEventId: callerResponse.hasSentHead ? callerResponse.framer.lastEventId : call.lastEventId,
            }),
            dialect: dependencies.dialect,
            connections: dependencies.connections,
            scheduler: dependencies.scheduler,
            isStreamed: (status, headers) => route.kind === "stream" && status === 200 && isEventStream(headers),
            ...handlers,
        });
    }

    /** Receives the head of a response that is to be forwarded. Returns false when that response is not forwarded after all. */
    private receiveHead(running: RunningAttempt, status: number, headers: IncomingHttpHeaders, isStreamed: boolean): boolean {
        running.lastReceivedMs = this.dependencies.scheduler.nowMs();
        if (running === this.replacement) {
            if (status >= 500 || !this.callerResponse.canFollow(isStreamed)) {
                return false;
            }
            this.takeOver(running);
        }
        return this.callerResponse.sendHead(status, headers, isStreamed);
    }

    /** A call that broke before its first event may have crashed its upstream, and would crash the next one too. */
    private reportBrokenPrompt(running: RunningAttempt, result: AttemptResult): void {
        if (result.kind === "broken" && !this.hasBegun(running) && this.sharedPartIds.length > 0) {
            const call = { partIds: this.sharedPartIds, sentMs: running.sentMs };
            running.crashCheck = this.dependencies.partGuard.recordBrokenCall(running.placement.upstream, call);
        }
    }

    private logPlacement(placement: Placement, patienceMs: number): void {
        const { request, dependencies, summary } = this;
        log("placed", {
            requestId: request.call.requestId,
            route: request.route.name,
            service: this.service,
            upstream: placement.upstream.id,
            attempt: summary.attempts,
            reason: placement.reason,
            tier: request.tier,
            delay: placement.delay,
            waitMs: Math.round(placement.waitMs),
            readMs: Math.round(placement.readMs),
            callsThere: dependencies.loadTracker.callsInFlight(placement.upstream.id),
            patienceMs,
            configVersion: request.routeTable.version,
        });
    }

    /** Starts a replacement for an attempt whose upstream has been silent for too long, if the call may be repeated. */
    private watchForSilence(running: RunningAttempt): void {
        const { route } = this.request;
        const { scheduler } = this.dependencies;
        if (route.kind === "repeatable") {
            scheduler.after(route.timeoutMs * relayLimits.attemptTimeoutShare, () => {
                if (!running.attempt.hasResponseHead) {
                    void this.startReplacement(running);
                }
            }, running.endSignal);
        }
        else if (route.kind === "stream" && route.isResumable) {
            scheduler.every(relayLimits.streamIdleTimeoutMs / 4, () => {
                if (this.getSilenceMs(running) > relayLimits.streamIdleTimeoutMs) {
                    void this.startReplacement(running);
                }
            }, running.endSignal);
        }
    }

    /**
     * Sends the call to another upstream as well. A sound upstream may fall silent for a moment, so the silent attempt is kept until the
     * other upstream has taken the call: it may refuse it, or not be reachable.
     */
    private async startReplacement(running: RunningAttempt): Promise<void> {
        if (this.current !== running || this.replacement !== undefined || this.isPlacingReplacement || !this.mayRetry("silent")) {
            return;
        }
        const { lastReceivedMs } = running;
        this.isPlacingReplacement = true;
        const placement = await this.choosePlacement().catch((error: unknown) => {
            log("placing a replacement failed unexpectedly; keeping the silent attempt", {
                requestId: this.request.call.requestId,
                error: String(error),
            });
            return undefined;
        });
        this.isPlacingReplacement = false;
        const isStillSilent = this.current === running && running.lastReceivedMs === lastReceivedMs && !running.endSignal.aborted;
        if (placement === undefined || !isStillSilent) {
            return;
        }
        const replacement = this.startAttempt(placement);
        this.replacement = replacement;
        void replacement.result.then(result => {
            this.endReplacement(replacement, result);
        });
        if (this.request.route.kind === "stream") {
            this.takeOverUnlessRefused(replacement);
        }
    }

    /** Two upstreams do not work on one stream for longer than a refusal takes to arrive, counted from the sending. */
    private takeOverUnlessRefused(replacement: RunningAttempt, sentForMs = 0): void {
        this.dependencies.scheduler.after(relayLimits.refusalCheckIntervalMs, () => {
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
        if (result.kind !== "cancelled" && this.isFinal(result)) {
            this.takeOver(replacement);
            return;
        }
        this.replacement = undefined;
        log("replacement of a silent attempt failed; keeping the silent attempt", {
            requestId: this.request.call.requestId,
            upstream: this.current?.placement.upstream.id,
            replacement: replacement.placement.upstream.id,
            end: result.kind,
        });
    }

    private takeOver(replacement: RunningAttempt): void {
        const silent = this.current;
        this.current = replacement;
        this.replacement = undefined;
        this.callerResponse.framer.resume();
        this.summary.upstreamId = replacement.placement.upstream.id;
        silent?.attempt.abort(upstreamSilent);
    }

    private cancelReplacement(): void {
        this.replacement?.attempt.abort(replacementNotNeeded);
        this.replacement = undefined;
        this.summary.upstreamId = this.current?.placement.upstream.id;
    }

    /** Whether no other attempt may follow this result: it is an answer, or the call has been given up. */
    private isFinal(result: AttemptResult): boolean {
        switch (result.kind) {
            case "forwarded":
                return this.callerResponse.framer.canEnd;
            case "held":
                return result.answer.status < 500 && !this.callerResponse.hasSentHead;
            case "cancelled":
                return result.reason === deadlineExceeded || result.reason === callerDisconnected || result.reason === partQuarantined;
            default:
                return false;
        }
    }

    /** Withdraws the call from an upstream that has not begun to answer it, before it crashes that one too. */
    private watchForQuarantine(running: RunningAttempt): void {
        if (this.sharedPartIds.length === 0 || this.isProbe) {
            return;
        }
        this.dependencies.partGuard.watch(this.sharedPartIds, () => {
            if (!this.hasBegun(running) && this.callerResponse.framer.eventCount === 0) {
                running.attempt.abort(partQuarantined);
            }
        }, running.endSignal);
    }

    /** Whether an upstream has begun to answer: with the first event of a stream, or the head of another response. */
    private hasBegun(running: RunningAttempt): boolean {
        return running.firstEventMs !== undefined || this.request.route.kind !== "stream" && running.attempt.hasResponseHead;
    }

    private hasAlternative(): boolean {
        return this.dependencies.directory.available(this.service).some(upstream => !this.triedUpstreamIds.has(upstream.id));
    }

    /** Records what the result of an attempt shows about its upstream's health and about whether the call has run. */
    private recordResult(running: RunningAttempt, result: AttemptResult): void {
        const { health, scheduler } = this.dependencies;
        const { upstream } = running.placement;
        if (result.kind === "forwarded" || result.kind === "held") {
            this.outcome = "ran";
            if (this.isFinal(result) && (result.kind === "forwarded" || result.answer.status < 400)) {
                this.recordAnswer(running);
            }
            if (health.recordSuccess(upstream.id)) {
                log("upstream recovered", { upstream: upstream.id, requestId: this.request.call.requestId });
            }
            return;
        }
        if (result.kind === "cancelled") {
            this.outcome = result.isSent ? "unknown" : this.outcome;
            if (!this.isUpstreamFailure(running, result.reason)) {
                return;
            }
        }
        if (result.kind === "broken") {
            this.outcome = "unknown";
        }
        if (result.kind === "not-sent" || result.kind === "not-run" && result.isWrongUpstream) {
            this.summary.attempts--;
            this.connectFailures++;
        }
        if (result.kind === "not-run" && !result.isWrongUpstream && result.bodyFailure === undefined) {
            return;
        }
        const avoidMs = health.recordFailure(upstream.id, scheduler.nowMs());
        log("upstream failed", {
            upstream: upstream.id,
            requestId: this.request.call.requestId,
            end: result.kind,
            reason: describeFailure(result),
            hadFirstEvent: running.firstEventMs !== undefined,
            avoidMs,
        });
    }

    /** Returns whether the call is to be retried after the result of an attempt; if not, ends the response to the caller. */
    private handleResult(result: AttemptResult, placement: Placement): boolean {
        switch (result.kind) {
            case "forwarded":
                if (this.callerResponse.framer.canEnd) {
                    this.callerResponse.end();
                    this.outcome = "ran";
                    return false;
                }
                return this.retryOr("broken", () => {
                    this.callerResponse.abort("the stream ended in the middle of an event, or before the last one that the caller has");
                });
            case "held":
                return this.handleResponse(result.answer);
            case "not-sent":
                if (this.connectFailures < relayLimits.maxUndeliveredAttempts) {
                    return true;
                }
                this.endWithoutUpstream();
                return false;
            case "not-run":
                return this.handleNotRun(result, placement);
            case "broken":
                return this.retryOr("broken", () => {
                    this.endAfterFailure(result.reason);
                });
            case "cancelled":
                if (this.request.disconnectSignal.aborted) {
                    return false;
                }
                if (result.reason === deadlineExceeded) {
                    this.endAtDeadline();
                    return false;
                }
                if (result.reason === partQuarantined && this.outcome === "not-run") {
                    return true;
                }
                return this.retryOr("silent", () => {
                    this.endAfterFailure(result.reason);
                });
        }
    }

    private handleResponse(response: BufferedResponse): boolean {
        if (this.callerResponse.hasSentHead) {
            return this.retryOr("upstream-error", () => {
                this.callerResponse.abort(`the upstream did not resume the stream but answered with status ${response.status}`);
            });
        }
        if (response.status < 500) {
            this.deliver(response);
            return false;
        }
        this.failedResponse = response;
        return this.retryOr("upstream-error", () => {
            this.deliver(response);
        });
    }

    private handleNotRun(result: Extract<AttemptResult, { kind: "not-run"; }>, placement: Placement): boolean {
        if (result.isWrongUpstream) {
            if (this.connectFailures < relayLimits.maxUndeliveredAttempts) {
                return true;
            }
        }
        else if (this.summary.attempts < this.request.route.maxAttempts && this.spendRetry("not-run")) {
            return true;
        }
        if (this.outcome !== "not-run") {
            this.endAfterFailure("the last upstream refused the call after an earlier attempt failed");
            return false;
        }
        this.callerResponse.refuse({
            status: 503,
            reason: "upstream_busy",
            outcome: "not-run",
            message: `upstream ${placement.upstream.id} is busy and did not run the call; retry later`,
            retryAfterMs: result.retryAfterMs ?? relayLimits.retryAfterMs,
        });
        return false;
    }

    /** Whether the route allows another attempt of a call that may have run. */
    private canRepeat(): boolean {
        const { route } = this.request;
        const isRepeatable = route.kind === "repeatable" || (route.kind === "stream" && route.isResumable);
        return isRepeatable && this.callerResponse.canContinue && this.summary.attempts < route.maxAttempts;
    }

    /** Whether the call may be sent to another upstream although it may have run; takes the retry out of the budget. */
    private mayRetry(reason: string): boolean {
        return !this.request.disconnectSignal.aborted && this.remainingMs() > 0 && this.canRepeat() && this.hasAlternative() &&
            !this.dependencies.partGuard.isQuarantined(this.sharedPartIds) && this.spendRetry(reason);
    }

    private retryOr(reason: string, endCall: () => void): boolean {
        if (this.mayRetry(reason)) {
            this.callerResponse.framer.resume();
            return true;
        }
        endCall();
        return false;
    }

    private spendRetry(reason: string): boolean {
        const isAllowed = this.dependencies.retryBudget(this.service).trySpend();
        if (!isAllowed && this.hasLoggedExhaustedBudget) {
            return false;
        }
        this.hasLoggedExhaustedBudget ||= !isAllowed;
        log(isAllowed ? "retrying the call" : "not retrying the call: retry budget is exhausted", {
            requestId: this.request.call.requestId,
            service: this.service,
            reason,
            attempts: this.summary.attempts,
            lastEventId: this.callerResponse.framer.lastEventId,
        });
        return isAllowed;
    }

    /** An attempt aborted at the call's deadline counts against its upstream only when the upstream had sent nothing for long enough. */
    private isUpstreamFailure(running: RunningAttempt, reason: string): boolean {
        return reason === upstreamSilent || reason === deadlineExceeded && this.getSilenceMs(running) >= relayLimits.minFailureSilenceMs;
    }

    /** For how long an upstream has sent nothing; one that is paused because the caller reads slowly is not silent. */
    private getSilenceMs(running: RunningAttempt): number {
        return this.request.outgoing.writableNeedDrain ? 0 : this.dependencies.scheduler.nowMs() - running.lastReceivedMs;
    }

    /** Forwards bytes of a response. Returns false on backpressure from the caller; the error says why the response is broken. */
    private forward(running: RunningAttempt, bytes: Buffer): Result<boolean, string> {
        const nowMs = this.dependencies.scheduler.nowMs();
        running.lastReceivedMs = nowMs;
        if (running !== this.current) {
            return ok(true);
        }
        const isWritable = this.callerResponse.forward(bytes);
        if (isWritable !== undefined) {
            this.cancelReplacement();
            if (this.callerResponse.isStreamed) {
                this.recordEvent(running, nowMs);
            }
        }
        if (this.callerResponse.framer.isOutOfPlace) {
            return err("the upstream resumed the stream with an event without an id");
        }
        return this.callerResponse.framer.isTooLong
            ? err("the upstream sent an event larger than 1 MiB; check that it ends events with an empty line")
            : ok(isWritable ?? true);
    }

    /** The first event of an attempt shows that its prefill is complete; the gap before each later one shows how fast the upstream decodes. */
    private recordEvent(running: RunningAttempt, nowMs: number): void {
        if (running.firstEventMs === undefined) {
            running.recordFirstEvent(nowMs);
            return;
        }
        this.dependencies.loadTracker.eventGaps.recordGap(running.placement.upstream.id, this.callerResponse.lastEventGapMs, nowMs);
        this.recordAnswer(running);
    }

    /** Only a second event, or a whole response, shows that the upstream did not crash over the prompt. */
    private recordAnswer(running: RunningAttempt): void {
        if (!running.hasAnswered) {
            running.hasAnswered = true;
            const begunMs = running.firstEventMs ?? this.dependencies.scheduler.nowMs();
            this.dependencies.partGuard.recordAnswer(this.sharedPartIds, this.service, begunMs);
        }
    }

    private deliver(response: BufferedResponse): void {
        this.callerResponse.sendBuffered(response);
        this.outcome = "ran";
    }

    private cancelAfterDisconnect(): void {
        if (this.request.route.kind !== "once") {
            this.current?.attempt.abort(callerDisconnected);
        }
    }

    private endAtDeadline(): void {
        if (this.callerResponse.hasSentHead) {
            this.callerResponse.abort("deadline exceeded");
            return;
        }
        if (this.failedResponse !== undefined) {
            this.deliver(this.failedResponse);
            return;
        }
        const isNotRun = this.outcome === "not-run";
        this.callerResponse.refuse({
            status: isNotRun ? 503 : 504,
            reason: "time_limit",
            outcome: this.outcome,
            message: isNotRun
                ? "no upstream accepted the call before its deadline"
                : "no upstream answered the call before its deadline",
        });
    }

    private endWithoutUpstream(): void {
        if (this.callerResponse.hasSentHead) {
            this.callerResponse.abort("no upstream is left to resume the stream");
            return;
        }
        if (this.failedResponse !== undefined) {
            this.deliver(this.failedResponse);
            return;
        }
        if (this.outcome !== "not-run") {
            this.endAfterFailure("no untried upstream is left");
            return;
        }
        this.callerResponse.refuse({
            status: 503,
            reason: "no_upstream",
            outcome: "not-run",
            message: `no upstream of service ${this.service} can be reached; retry later`,
            retryAfterMs: relayLimits.retryAfterMs,
        });
    }

    private endAfterFailure(reason: string): void {
        if (this.callerResponse.hasSentHead) {
            this.callerResponse.abort(reason);
            return;
        }
        if (this.failedResponse !== undefined) {
            this.deliver(this.failedResponse);
            return;
        }
        this.callerResponse.refuse({
            status: 502,
            reason: "upstream_broken",
            outcome: "unknown",
            message: `${reason}; the call may have run`,
        });
    }

    private reportEnd(): void {
        const { call, route, customer, arrivedMs, disconnectSignal } = this.request;
        const totalMs = this.dependencies.scheduler.nowMs() - arrivedMs;
        const { summary } = this;
        summary.outcome = this.outcome;
        const isAbandoned = disconnectSignal.aborted && !summary.isComplete;
        this.dependencies.observer.requestEnded({
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
            events: this.callerResponse.framer.eventCount,
            isAbandoned,
        });
    }
}

function describeFailure(result: Extract<AttemptResult, { kind: "not-sent" | "not-run" | "broken" | "cancelled"; }>): string {
    return result.kind === "not-run" ? result.bodyFailure ?? "its address now belongs to another upstream" : result.reason;
}
