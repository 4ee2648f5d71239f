import { err, ok, type Result } from "neverthrow";
import { createHash } from "node:crypto";
import type { Readable } from "node:stream";
import { pipeline } from "node:stream/promises";
import { hasSingleDeduplicatingPool } from "../../core/booking/hasSingleDeduplicatingPool.js";
import { choosePool } from "../../core/paths/choosePool.js";
import { admitRetry } from "../../core/retry/admitRetry.js";
import type { Pool } from "../../schema/config/Pool.js";
import type { Outcome } from "../../schema/Outcome.js";
import { BookingSendError } from "../booking/BookingSendError.js";
import type { BookingError } from "../services/BookingError.js";
import type { BookingResponse } from "../services/BookingResponse.js";
import type { Grant } from "../services/Grant.js";
import type { PlainRequest } from "../services/PlainRequest.js";
import type { PlainResponse } from "../services/PlainResponse.js";
import type { UpstreamError } from "../services/UpstreamError.js";
import { admitCall } from "./admitCall.js";
import { BodySizeLimiter } from "./BodySizeLimiter.js";
import { bufferRequestBody } from "./bufferRequestBody.js";
import type { CallDependencies } from "./CallDependencies.js";
import { CallerError } from "./CallerError.js";
import type { CallerRequest } from "./CallerRequest.js";
import type { CallSummary } from "./CallSummary.js";
import { GrantSource } from "./GrantSource.js";
import { mapDispatchRefusal } from "./mapDispatchRefusal.js";
import { mapUpstreamError } from "./mapUpstreamError.js";
import { recordDecision } from "./recordDecision.js";
import { sendCallerError } from "./sendCallerError.js";

const plainCallTokens = 1;
/** Set by the router or meant for it alone. */
const ownHeaders: ReadonlySet<string> = new Set(["authorization", "x-orioleshelf-class", "x-request-id"]);
/** Set by this server on every answer. */
const ownAnswerHeaders: ReadonlySet<string> = new Set(["x-request-id", "x-orioleshelf-outcome", "date"]);

interface PlainWork {
    readonly service: string;
    /** Path and query behind `/services/{service}`. */
    readonly target: string;
}

interface Exchange {
    readonly grant: Grant;
    readonly response: PlainResponse;
    readonly sentMs: number;
}

/** One call to a plain service. A keyed call that may not be repeated goes through the booking service. */
export class PlainCall {
    private readonly grants: GrantSource;
    private mayHaveRun = false;

    constructor(
        private readonly parts: CallDependencies,
        private readonly request: CallerRequest,
        private readonly work: PlainWork,
        private readonly summary: CallSummary,
    ) {
        this.grants = new GrantSource(parts, request, summary);
        summary.service = work.service;
    }

    /** Serves the call to its end; the caller has been answered when it resolves. */
    async run(): Promise<void> {
        const admitted = await admitCall(this.parts, this.request, plainCallTokens);
        if (admitted.isErr()) {
            this.fail(admitted.error);
            return;
        }
        const served = await this.serve();
        admitted.value.end(plainCallTokens);
        if (served.isErr()) {
            this.fail(served.error);
        }
    }

    private async serve(): Promise<Result<void, CallerError>> {
        const pool = choosePool(this.request.view, {
            kind: "plain",
            service: this.work.service,
            serviceClass: this.request.serviceClass.name,
            customer: this.request.customer.name,
            key: this.key ?? this.request.requestId,
        });
        if (pool === undefined) {
            return err(
                new CallerError(
                    { status: 404, code: "service_not_found", outcome: "not-run" },
                    "no pool serves this service; check its name",
                ),
            );
        }
        this.summary.path = pool.path;
        recordDecision(this.parts, this.request, "path", { path: pool.path, pool: pool.name });
        this.parts.retryBudget.earn();
        if (!pool.repeatable && this.key !== undefined) {
            return this.serveBooking(pool, this.key);
        }
        return this.serveStreamed(pool);
    }

    private get key(): string | undefined {
        const key = this.request.incoming.headers["idempotency-key"];
        return typeof key === "string" && key !== "" ? key : undefined;
    }

    private async serveBooking(pool: Pool, key: string): Promise<Result<void, CallerError>> {
        const body = await bufferRequestBody(this.request.incoming, this.parts.callerLimits.maxBufferedBodyBytes);
        if (body.isErr()) {
            return err(body.error);
        }
        const call = {
            customer: this.request.customer.name,
            key,
            digest: this.digest(body.value),
            hasUpstreamDeduplication: hasSingleDeduplicatingPool(this.request.view.pools.values(), this.work.service),
        };
        let hasClaimed = false;
        const send = (mayStart: () => boolean) => {
            hasClaimed = true;
            recordDecision(this.parts, this.request, "claimed", { pool: pool.name });
            return this.parts.trackInFlight(this.sendBooking(pool, body.value, mayStart));
        };
        const answer = await this.parts.bookings.run(call, send, this.request.disconnectSignal);
        if (answer.isErr()) {
            return err(faultOfBooking(answer.error));
        }
        if (!hasClaimed) {
            recordDecision(this.parts, this.request, "replayed", { pool: pool.name });
        }
        this.sendHeldAnswer(answer.value);
        return ok();
    }

    /** Runs once the claim is won, and to its end even when the caller goes: others may have joined the call. */
    private async sendBooking(pool: Pool, body: Buffer, mayStart: () => boolean): Promise<BookingResponse> {
        const untilSent = new AbortController();
        const exchange = await this.exchangeWithRetries(pool, body, false, untilSent.signal, mayStart);
        if (exchange.isErr()) {
            const { outcome, message, retryAfterMs } = exchange.error;
            throw new BookingSendError(outcome, message, retryAfterMs);
        }
        const { response } = exchange.value;
        const whole = await readAnswer(response.body);
        this.endGrant(exchange.value, whole === undefined ? "failed" : "completed");
        if (whole === undefined) {
            throw new BookingSendError(
                "unknown",
                "the answer of the upstream broke off; look the booking up before sending it under a new key",
            );
        }
        const contentType = response.headers["content-type"];
        return {
            status: response.status,
            contentType: typeof contentType === "string" ? contentType : "application/octet-stream",
            body: whole,
        };
    }

    private async serveStreamed(pool: Pool): Promise<Result<void, CallerError>> {
        const body = await this.takeBody();
        if (body.isErr()) {
            return err(body.error);
        }
        const exchange = await this.exchangeWithRetries(pool, body.value, pool.repeatable, this.request.disconnectSignal);
        if (exchange.isErr()) {
            return err(exchange.error);
        }
        return this.streamAnswer(exchange.value);
    }

    /** A short body is held, so that a call that surely did not run can go to another upstream; a long one is streamed and can be sent only once. */
    private async takeBody(): Promise<Result<Buffer | Readable | undefined, CallerError>> {
        const { incoming } = this.request;
        const lengthBytes = Number(incoming.headers["content-length"] ?? 0);
        const isChunked = incoming.headers["transfer-encoding"] !== undefined;
        if (lengthBytes === 0 && !isChunked) {
            return ok(undefined);
        }
        if (!isChunked && lengthBytes <= this.parts.callerLimits.maxRetryableBodyBytes) {
            return bufferRequestBody(incoming, lengthBytes);
        }
        const { maxStreamedBodyBytes } = this.parts.callerLimits;
        if (lengthBytes > maxStreamedBodyBytes) {
            return err(bodyTooLarge(maxStreamedBodyBytes, "not-run"));
        }
        return ok(incoming.pipe(new BodySizeLimiter(maxStreamedBodyBytes)));
    }

    private async exchangeWithRetries(
        pool: Pool,
        body: Buffer | Readable | undefined,
        isRepeatable: boolean,
        signal: AbortSignal,
        mayStart = () => true,
    ): Promise<Result<Exchange, CallerError>> {
        for (;;) {
            const grant = await this.acquire(pool, signal);
            if (grant.isErr()) {
                return err(grant.error);
            }
            if (!mayStart()) {
                grant.value.end({ result: "unused", outputTokens: 0 });
                return err(
                    new CallerError({ status: 503, code: "claim_expired", outcome: "not-run" }, "the call waited too long; repeat it"),
                );
            }
            const sentMs = this.parts.scheduler.nowMs();
            recordDecision(this.parts, this.request, "sent", { upstream: grant.value.upstream.id });
            const response = await this.parts.plain.send(grant.value.upstream, this.plainRequest(body), signal);
            if (response.isOk()) {
                this.grants.reportResult(grant.value, undefined);
                this.mayHaveRun = true;
                return ok({ grant: grant.value, response: response.value, sentMs });
            }
            if (body instanceof BodySizeLimiter && body.isLimitExceeded) {
                this.mayHaveRun = true;
                this.endForCaller(grant.value);
                return err(bodyTooLarge(this.parts.callerLimits.maxStreamedBodyBytes, "unknown"));
            }
            this.grants.reportResult(grant.value, response.error);
            grant.value.end({ result: signal.aborted ? "cancelled" : "failed", outputTokens: 0 });
            if (!this.goOnAfter(response.error, grant.value, body, isRepeatable) || signal.aborted) {
                return err(mapUpstreamError(response.error, this.mayHaveRun));
            }
        }
    }

    /** The attempt failed by the caller's doing, which tells nothing about the upstream. */
    private endForCaller(grant: Grant): void {
        this.grants.reportResult(grant, { kind: "cancelled", status: undefined, message: "the caller's body was broken off" });
        grant.end({ result: "cancelled", outputTokens: 0 });
    }

    private async acquire(pool: Pool, signal: AbortSignal): Promise<Result<Grant, CallerError>> {
        const grant = await this.grants.acquire({
            pool,
            service: this.work.service,
            promptTokens: 0,
            maxOutputTokens: plainCallTokens,
            prefixHashes: [],
            waitedMs: this.parts.scheduler.nowMs() - this.request.arrivedMs,
            maxQueueMs: this.request.serviceClass.maxQueueMs,
        }, signal);
        return grant.mapErr(refusal => {
            const fault = mapDispatchRefusal(refusal);
            return this.mayHaveRun ? new CallerError({ ...fault, outcome: "unknown" }, fault.message) : fault;
        });
    }

    private goOnAfter(error: UpstreamError, grant: Grant, body: Buffer | Readable | undefined, isRepeatable: boolean): boolean {
        const mayHaveRun = error.kind === "broken" || error.kind === "silent" || error.kind === "cancelled";
        this.mayHaveRun ||= mayHaveRun;
        this.grants.excludeUpstream(grant);
        const canSendBodyAgain = body === undefined || Buffer.isBuffer(body);
        const question = {
            failure: { mayHaveRun, isRequestFault: false },
            isRepeatable,
            attempts: this.summary.attempts,
            maxAttempts: this.parts.callerLimits.maxAttempts,
        };
        const goesOn = canSendBodyAgain && admitRetry(question, this.parts.retryBudget);
        if (goesOn) {
            recordDecision(this.parts, this.request, "retried", { after: error.kind, upstream: grant.upstream.id });
        }
        return goesOn;
    }

    private plainRequest(body: Buffer | Readable | undefined): PlainRequest {
        const { headers, method } = this.request.incoming;
        const kept = Object.entries(headers).filter(([name, value]) => value !== undefined && !ownHeaders.has(name));
        return {
            requestId: this.request.requestId,
            method: method ?? "GET",
            target: this.work.target,
            headers: Object.fromEntries(kept) as Record<string, string | string[]>,
            body,
            responseIdleTimeoutMs: this.parts.callerLimits.plainIdleTimeoutMs,
            maxAnswerBytes: this.parts.callerLimits.maxStreamedBodyBytes,
        };
    }

    private async streamAnswer(exchange: Exchange): Promise<Result<void, CallerError>> {
        const { response } = exchange;
        const { outgoing } = this.request;
        const kept = Object.entries(response.headers).filter(([name]) => !ownAnswerHeaders.has(name));
        outgoing.writeHead(response.status, { ...Object.fromEntries(kept), ...this.answerHeaders() });
        this.noteAnswer(response.status);
        try {
            await pipeline(response.body, outgoing);
        }
        catch {
            // The head is out, so a broken connection is all that can tell the caller; it must not look like a whole answer.
            outgoing.destroy();
            this.endGrant(exchange, this.request.disconnectSignal.aborted ? "cancelled" : "failed");
            return err(new CallerError({ status: response.status, code: "answer_broken", outcome: "ran" }, "the answer broke off"));
        }
        this.endGrant(exchange, "completed");
        this.summary.isComplete = true;
        return ok();
    }

    private sendHeldAnswer(answer: BookingResponse): void {
        this.request.outgoing.writeHead(answer.status, {
            "content-type": answer.contentType,
            "content-length": answer.body.length,
            ...this.answerHeaders(),
        });
        this.request.outgoing.end(answer.body);
        this.noteAnswer(answer.status);
        this.summary.isComplete = true;
    }

    private noteAnswer(status: number): void {
        this.summary.status = status;
        this.summary.outcome = "ran";
        this.summary.firstTokenMs = this.parts.scheduler.nowMs() - this.request.arrivedMs;
    }

    private answerHeaders(): Record<string, string> {
        return { "x-request-id": this.request.requestId, "x-orioleshelf-outcome": "ran" };
    }

    private endGrant(exchange: Exchange, result: "completed" | "failed" | "cancelled"): void {
        const firstTokenMs = this.parts.scheduler.nowMs() - exchange.sentMs;
        exchange.grant.end({ result, outputTokens: 0, firstTokenMs });
    }

    private digest(body: Buffer): string {
        const { method } = this.request.incoming;
        return createHash("sha256").update(`${method} ${this.work.service} ${this.work.target}\n`).update(body).digest("hex");
    }

    private fail(fault: CallerError): void {
        this.summary.status = fault.status;
        this.summary.outcome = fault.outcome;
        this.summary.errorCode = fault.code;
        sendCallerError(this.request.outgoing, fault, this.request.requestId, !this.request.incoming.complete);
    }
}

function faultOfBooking(error: BookingError): CallerError {
    const statuses = { "key-reused": 422, "log-unavailable": 503, "outcome-unknown": 502, "upstream-failed": 502, "cancelled": 499 };
    const code = error.kind.replaceAll("-", "_");
    const status = error.kind === "upstream-failed" && error.outcome === "not-run" ? 503 : statuses[error.kind];
    return new CallerError({ status, code, outcome: error.outcome, retryAfterMs: error.retryAfterMs }, error.message);
}

function bodyTooLarge(maxBytes: number, outcome: Outcome): CallerError {
    return new CallerError({ status: 413, code: "body_too_large", outcome }, `the body is larger than ${maxBytes} bytes; send less`);
}

/** The whole body; undefined when it broke off. */
async function readAnswer(body: Readable): Promise<Buffer | undefined> {
    const parts: Buffer[] = [];
    try {
        for await (const part of body as AsyncIterable<Buffer>) {
            parts.push(part);
        }
        return Buffer.concat(parts);
    }
    catch {
        return undefined;
    }
}
