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

const log = createLogger("relay");
/** Why this VM gives an attempt up. */
const timeLimit = "time limit";
const callerGone = "caller gone";

/** Takes one call from its arrival to the end of its answer: places it, sends it, and sends it again where that is allowed. */
export class RelayCallHandler {
    private readonly summary = createCallSummary();
    private readonly limitMs: number;
    private readonly tried = new Set<string>();
    private readonly answer: CallerResponse;
    private readonly service: string;
    private unreachable = 0;
    /** Some upstream may have run the call, or surely has. */
    private outcome: Outcome = "not-run";
    private failedAnswer: BufferedResponse | undefined;
    private attempt: RelayAttempt | undefined;
    private lastBytesMs = 0;
    /** Of the attempt under way: where it is, and whether its first event has come. */
    private placement: Placement | undefined;
    private hasStream = false;

    constructor(private readonly parts: RelayDependencies, private readonly request: RelayRequest) {
        const { call, route, arrivedMs } = request;
        const patienceMs = call.patienceMs === undefined ? Infinity : call.patienceMs - relayLimits.deadlineMarginMs;
        this.limitMs = arrivedMs + Math.min(route.timeoutMs, patienceMs);
        this.answer = new CallerResponse(parts, request, this.summary);
        this.service = pickService(route, call.requestId) ?? "";
        this.summary.service = this.service;
    }

    /** Settles when the caller has been answered or has gone. */
    async run(): Promise<void> {
        const { scheduler } = this.parts;
        const finished = new AbortController();
        const giveUp = () => {
            this.stopForNobody();
        };
        this.request.disconnectSignal.addEventListener("abort", giveUp, { once: true });
        scheduler.after(Math.max(0, this.limitMs - scheduler.nowMs()), () => {
            this.attempt?.abort(timeLimit);
        }, finished.signal);
        this.request.outgoing.on("drain", () => {
            this.attempt?.resume();
        });
        this.parts.retryBudget(this.service).earn();
        try {
            await this.tryUntilAnswered();
        }
        finally {
            finished.abort();
            this.request.disconnectSignal.removeEventListener("abort", giveUp);
            this.report();
        }
    }

    private async tryUntilAnswered(): Promise<void> {
        while (!this.request.disconnectSignal.aborted) {
            if (this.remainingMs() <= 0) {
                this.endAtLimit();
                return;
            }
            const placement = await this.choose();
            if (this.request.disconnectSignal.aborted) {
                return;
            }
            if (placement === undefined) {
                this.endWithoutUpstream();
                return;
            }
            const end = await this.send(placement);
            if (!this.goesOnAfter(end, placement)) {
                return;
            }
        }
    }

    private remainingMs(): number {
        return this.limitMs - this.parts.scheduler.nowMs();
    }

    private async choose(): Promise<Placement | undefined> {
        const { directory, health, place, scheduler } = this.parts;
        const nowMs = scheduler.nowMs();
        const available = directory.available(this.service);
        const untried = available.filter(upstream => !this.tried.has(upstream.id));
        const sound = untried.filter(upstream => !health.isAvoided(upstream.id, nowMs));
        const candidates = sound.length > 0 ? sound : untried;
        return await place({ service: this.service, call: this.request.call, route: this.request.route, available, candidates, nowMs });
    }

    private async send(placement: Placement): Promise<AttemptResult> {
        const { parts, request } = this;
        const { call, customer, incoming, body, route } = request;
        const { upstream } = placement;
        const patienceMs = Math.max(1, Math.floor(this.remainingMs()));
        const isContinued = this.answer.hasSentHead;
        const attempt = new RelayAttempt({
            call,
            upstream,
            body,
            headers: parts.dialect.buildUpstreamHeaders(call, incoming.headers, {
                upstreamId: upstream.id,
                patienceMs,
                customer: customer?.name,
                priority: computeEnginePriority(
                    computeTierRank(request.tier, route.tier),
                    placement.delay,
                    request.routeTable.streamTierRanks,
                ),
                lastEventId: isContinued ? this.answer.framer.lastEventId : call.lastEventId,
            }),
            dialect: parts.dialect,
            connections: parts.connections,
            isStreamed: (status, headers) => route.kind === "stream" && status === 200 && isEventStream(headers),
            onHead: (status, headers) => {
                this.lastBytesMs = parts.scheduler.nowMs();
                this.answer.sendHead(status, headers);
            },
            onBytes: bytes => this.forward(bytes),
        });
        this.attempt = attempt;
        this.tried.add(upstream.id);
        this.summary.upstreamId = upstream.id;
        this.summary.attempts++;
        this.summary.queueMs ??= parts.scheduler.nowMs() - request.arrivedMs;
        this.logPlacement(placement, patienceMs);
        const ended = new AbortController();
        this.watch(attempt, ended.signal);
        this.placement = placement;
        this.hasStream = false;
        parts.loadTracker.recordCallStart(upstream.id, placement);
        const end = await attempt.run();
        ended.abort();
        parts.loadTracker.recordCallEnd(upstream.id, placement, this.hasStream);
        this.attempt = undefined;
        this.judge(placement, end);
        return end;
    }

    private logPlacement(placement: Placement, patienceMs: number): void {
        const { request, parts, summary } = this;
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
            callsThere: parts.loadTracker.callsInFlight(placement.upstream.id),
            patienceMs,
            configVersion: request.routeTable.version,
        });
    }

    /** Gives an attempt up that has been silent for too long, where the call can be tried elsewhere. */
    private watch(attempt: RelayAttempt, ended: AbortSignal): void {
        const { route } = this.request;
        const { scheduler } = this.parts;
        this.lastBytesMs = scheduler.nowMs();
        if (!this.mayRepeat()) {
            return;
        }
        if (route.kind === "repeatable") {
            scheduler.after(route.timeoutMs * relayLimits.attemptTimeoutShare, () => {
                if (!attempt.hasResponseHead && this.hasAlternative()) {
                    attempt.abort("no answer in time");
                }
            }, ended);
            return;
        }
        scheduler.every(relayLimits.streamIdleTimeoutMs / 4, () => {
            if (scheduler.nowMs() - this.lastBytesMs > relayLimits.streamIdleTimeoutMs && this.hasAlternative()) {
                attempt.abort("stream fell silent");
            }
        }, ended);
    }

    private hasAlternative(): boolean {
        return this.parts.directory.available(this.service).some(upstream => !this.tried.has(upstream.id));
    }

    /** Records what an attempt shows about its upstream and about whether the call has run. */
    private judge({ upstream }: Placement, end: AttemptResult): void {
        const { health, scheduler } = this.parts;
        if (end.kind === "forwarded" || end.kind === "held") {
            this.outcome = "ran";
            if (health.recordSuccess(upstream.id)) {
                log("upstream answers again", { upstream: upstream.id, requestId: this.request.call.requestId });
            }
            return;
        }
        if (end.kind === "cancelled") {
            this.outcome = end.isSent ? "unknown" : this.outcome;
            if (end.reason === callerGone || !this.showsSilence(end.reason)) {
                return;
            }
        }
        if (end.kind === "broken") {
            this.outcome = "unknown";
        }
        if (end.kind === "not-run" && !end.isWrongUpstream) {
            return;
        }
        const avoidMs = health.recordFailure(upstream.id, scheduler.nowMs());
        log("upstream failed", {
            upstream: upstream.id,
            requestId: this.request.call.requestId,
            end: end.kind,
            reason: "reason" in end ? end.reason : "another upstream has its address",
            avoidMs,
        });
    }

    /** Answers the caller by how an attempt ended; true when the call is to be tried once more. */
    private goesOnAfter(end: AttemptResult, placement: Placement): boolean {
        switch (end.kind) {
            case "forwarded":
                if (this.answer.framer.pendingBytes === 0) {
                    this.answer.end();
                    this.outcome = "ran";
                    return false;
                }
                return this.repeatOr("broken", () => {
                    this.answer.abort("the stream ended inside an event");
                });
            case "held":
                return this.afterAnswer(end.answer);
            case "not-sent":
                this.summary.attempts--;
                this.unreachable++;
                if (this.unreachable < relayLimits.maxConnectFailures) {
                    return true;
                }
                this.endWithoutUpstream();
                return false;
            case "not-run":
                return this.afterNotRun(end, placement);
            case "broken":
                return this.repeatOr("broken", () => {
                    this.endBroken(end.reason);
                });
            case "cancelled":
                if (this.request.disconnectSignal.aborted) {
                    return false;
                }
                if (end.reason === timeLimit) {
                    this.endAtLimit();
                    return false;
                }
                return this.repeatOr("silent", () => {
                    this.endBroken(end.reason);
                });
        }
    }

    private afterAnswer(answer: BufferedResponse): boolean {
        if (this.answer.hasSentHead) {
            this.answer.abort("the upstream that was to continue the stream refused to");
            return false;
        }
        if (answer.status < 500) {
            this.deliver(answer);
            return false;
        }
        this.failedAnswer = answer;
        return this.repeatOr("upstream-error", () => {
            this.deliver(answer);
        });
    }

    private afterNotRun(end: Extract<AttemptResult, { kind: "not-run"; }>, placement: Placement): boolean {
        if (end.isWrongUpstream) {
            this.summary.attempts--;
            this.unreachable++;
            if (this.unreachable < relayLimits.maxConnectFailures) {
                return true;
            }
        }
        else if (this.summary.attempts < this.request.route.maxAttempts && this.spendRetry("not-run")) {
            return true;
        }
        if (this.outcome !== "not-run") {
            this.endBroken("a further upstream refused the call");
            return false;
        }
        this.answer.refuse({
            status: 503,
            reason: "upstream_busy",
            outcome: "not-run",
            message: `upstream ${placement.upstream.id} is full and did nothing; come back later`,
            retryAfterMs: end.retryAfterMs ?? relayLimits.retryAfterMs,
        });
        return false;
    }

    /** Whether the kind of the route lets a call that may have run be sent once more. */
    private mayRepeat(): boolean {
        const { route } = this.request;
        const isRepeatable = route.kind === "repeatable" || (route.kind === "stream" && route.isResumable);
        return isRepeatable && this.summary.attempts < route.maxAttempts;
    }

    private repeatOr(reason: string, otherwise: () => void): boolean {
        if (
            !this.request.disconnectSignal.aborted && this.remainingMs() > 0 && this.mayRepeat() && this.hasAlternative() &&
            this.spendRetry(reason)
        ) {
            this.answer.framer.dropPending();
            return true;
        }
        otherwise();
        return false;
    }

    private spendRetry(reason: string): boolean {
        const isAllowed = this.parts.retryBudget(this.service).trySpend();
        log(isAllowed ? "sent once more" : "not sent once more, as the retry budget is used up", {
            requestId: this.request.call.requestId,
            service: this.service,
            reason,
            attempts: this.summary.attempts,
            lastEventId: this.answer.framer.lastEventId,
        });
        return isAllowed;
    }

    /** A call that reached its time limit tells something about its upstream only when nothing came for long. */
    private showsSilence(reason: string): boolean {
        return reason !== timeLimit || this.parts.scheduler.nowMs() - this.lastBytesMs >= relayLimits.minFailureSilenceMs;
    }

    private forward(bytes: Buffer): boolean {
        const nowMs = this.parts.scheduler.nowMs();
        this.lastBytesMs = nowMs;
        const isTaken = this.answer.forward(bytes);
        if (isTaken !== undefined) {
            this.noteEvent(nowMs);
        }
        return isTaken ?? true;
    }

    /** The first event of an attempt tells that its prompt was read, each further one how fast its upstream is. */
    private noteEvent(nowMs: number): void {
        if (this.placement === undefined) {
            return;
        }
        const { loadTracker: board } = this.parts;
        const { id } = this.placement.upstream;
        if (this.hasStream) {
            board.eventGaps.recordGap(id, this.answer.lastEventGapMs, nowMs);
            return;
        }
        this.hasStream = true;
        board.recordFirstEvent(id, this.placement);
    }

    private deliver(held: BufferedResponse): void {
        this.answer.sendBuffered(held);
        this.outcome = "ran";
    }

    private stopForNobody(): void {
        if (this.request.route.kind !== "once") {
            this.attempt?.abort(callerGone);
        }
    }

    private endAtLimit(): void {
        if (this.answer.hasSentHead) {
            this.answer.abort("time limit");
            return;
        }
        if (this.failedAnswer !== undefined) {
            this.deliver(this.failedAnswer);
            return;
        }
        const isNotRun = this.outcome === "not-run";
        this.answer.refuse({
            status: isNotRun ? 503 : 504,
            reason: "time_limit",
            outcome: this.outcome,
            message: isNotRun
                ? "no upstream took the call within its time limit"
                : "no upstream answered within the time limit of the call",
        });
    }

    private endWithoutUpstream(): void {
        if (this.answer.hasSentHead) {
            this.answer.abort("no upstream is left to continue the stream");
            return;
        }
        if (this.failedAnswer !== undefined) {
            this.deliver(this.failedAnswer);
            return;
        }
        if (this.outcome !== "not-run") {
            this.endBroken("no other upstream is left");
            return;
        }
        this.answer.refuse({
            status: 503,
            reason: "no_upstream",
            outcome: "not-run",
            message: `no upstream of service ${this.service} can be reached; come back later`,
            retryAfterMs: relayLimits.retryAfterMs,
        });
    }

    private endBroken(reason: string): void {
        if (this.answer.hasSentHead) {
            this.answer.abort(reason);
            return;
        }
        if (this.failedAnswer !== undefined) {
            this.deliver(this.failedAnswer);
            return;
        }
        this.answer.refuse({ status: 502, reason: "upstream_broken", outcome: "unknown", message: `${reason}; the call may have run` });
    }

    private report(): void {
        const { call, route, customer, arrivedMs, disconnectSignal: gone } = this.request;
        const totalMs = this.parts.scheduler.nowMs() - arrivedMs;
        const { summary } = this;
        summary.outcome = this.outcome;
        const isAbandoned = gone.aborted && !summary.isComplete;
        this.parts.observer.requestEnded({
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
            events: this.answer.framer.eventCount,
            isAbandoned,
        });
    }
}
