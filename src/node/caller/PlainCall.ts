import { err, ok, type Result } from "neverthrow";
import { createHash } from "node:crypto";
import type { Readable } from "node:stream";
import { pipeline } from "node:stream/promises";
import { hasSingleDeduplicatingPool } from "../../core/booking/hasSingleDeduplicatingPool.js";
import { choosePool } from "../../core/paths/choosePool.js";
import { admitRetry } from "../../core/retry/admitRetry.js";
import { GrowingBuffer } from "../../core/util/GrowingBuffer.js";
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

/** Tokens that a call to a plain service counts as in limits and tickets. */
const plainCallTokens = 1;
/** Request headers that are set by the router or meant only for it, and so are not forwarded. */
const routerRequestHeaders: ReadonlySet<string> = new Set(["authorization", "x-orioleshelf-class", "x-request-id"]);
/** Response headers that this server sets itself on every response. */
const routerResponseHeaders: ReadonlySet<string> = new Set(["x-request-id", "x-orioleshelf-outcome", "date"]);

interface PlainCallOptions {
    readonly service: string;
    /** Path and query after `/services/{service}`. */
    readonly target: string;
}

interface Exchange {
    readonly grant: Grant;
    readonly response: PlainResponse;
    readonly sentMs: number;
}

/** One call to a plain service. A keyed call (one with an idempotency key) to a pool that is not repeatable goes through the booking service. */
export class PlainCall {
    private readonly grants: GrantSource;
    private mayHaveRun = false;

    constructor(
        private readonly dependencies: CallDependencies,
        private readonly request: CallerRequest,
        private readonly options: PlainCallOptions,
        private readonly summary: CallSummary,
    ) {
        this.grants = new GrantSource(dependencies, request, summary);
        summary.service = options.service;
    }

    /** Serves the call. Resolves once the response or an error has been sent to the caller. */
    async run(): Promise<void> {
        const admitted = await admitCall(this.dependencies, this.request, plainCallTokens);
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
            service: this.options.service,
            serviceClass: this.request.serviceClass.name,
            customer: this.request.customer.name,
            key: this.idempotencyKey ?? this.request.requestId,
        });
        if (pool === undefined) {
            return err(
                new CallerError(
                    { status: 404, code: "service_not_found", outcome: "not-run" },
                    "no pool provides this service; check its name",
                ),
            );
        }
        this.summary.path = pool.path;
        recordDecision(this.dependencies, this.request, "path", { path: pool.path, pool: pool.name });
        this.dependencies.retryBudget.recordFirstAttempt();
        if (!pool.repeatable && this.idempotencyKey !== undefined) {
            return this.serveBooking(pool, this.idempotencyKey);
        }
        return this.serveStreamed(pool);
    }

    private get idempotencyKey(): string | undefined {
        const key = this.request.incoming.headers["idempotency-key"];
        return typeof key === "string" && key !== "" ? key : undefined;
    }

    private async serveBooking(pool: Pool, key: string): Promise<Result<void, CallerError>> {
        const body = await bufferRequestBody(this.request.incoming, this.dependencies.callerLimits.maxBufferedBodyBytes);
        if (body.isErr()) {
            return err(body.error);
        }
        const call = {
            customer: this.request.customer.name,
            key,
            digest: this.computeDigest(body.value),
            hasUpstreamDeduplication: hasSingleDeduplicatingPool(this.request.view.pools.values(), this.options.service),
        };
        let hasClaimed = false;
        const send = (mayStart: () => boolean) => {
            hasClaimed = true;
            recordDecision(this.dependencies, this.request, "claimed", { pool: pool.name });
            return this.dependencies.trackInFlight(this.sendBooking(pool, body.value, mayStart));
        };
        const bookingResponse = await this.dependencies.bookings.run(call, send, this.request.disconnectSignal);
        if (bookingResponse.isErr()) {
            return err(mapBookingError(bookingResponse.error));
        }
        if (!hasClaimed) {
            recordDecision(this.dependencies, this.request, "replayed", { pool: pool.name });
        }
        this.sendBookingResponse(bookingResponse.value);
        return ok();
    }

    /** Runs after the claim has been won. Runs to its end even if the caller disconnects, since other callers may have joined the call. */
    private async sendBooking(pool: Pool, body: Buffer, mayStart: () => boolean): Promise<BookingResponse> {
        const unabortedController = new AbortController();
        const exchange = await this.exchangeWithRetries(pool, body, false, unabortedController.signal, mayStart);
        if (exchange.isErr()) {
            const { outcome, message, retryAfterMs } = exchange.error;
            throw new BookingSendError(outcome, message, retryAfterMs);
        }
        const { response } = exchange.value;
        const responseBody = await readResponseBody(response.body);
        this.endGrant(exchange.value, responseBody === undefined ? "failed" : "completed");
        if (responseBody === undefined) {
            throw new BookingSendError(
                "unknown",
                "response of the upstream was truncated; look up the booking before sending it under a new key",
            );
        }
        const contentType = response.headers["content-type"];
        return {
            status: response.status,
            contentType: typeof contentType === "string" ? contentType : "application/octet-stream",
            body: responseBody,
        };
    }

    private async serveStreamed(pool: Pool): Promise<Result<void, CallerError>> {
        const body = await this.prepareBody();
        if (body.isErr()) {
            return err(body.error);
        }
        const exchange = await this.exchangeWithRetries(pool, body.value, pool.repeatable, this.request.disconnectSignal);
        if (exchange.isErr()) {
            return err(exchange.error);
        }
        return this.streamResponse(exchange.value);
    }

    /** Buffers a short body of known length, so that a call that did not run, or that is repeatable, can be retried on another upstream. Other bodies are streamed and can be sent only once. */
    private async prepareBody(): Promise<Result<Buffer | Readable | undefined, CallerError>> {
        const { incoming } = this.request;
        const lengthBytes = Number(incoming.headers["content-length"] ?? 0);
        const isChunked = incoming.headers["transfer-encoding"] !== undefined;
        if (lengthBytes === 0 && !isChunked) {
            return ok(undefined);
        }
        if (!isChunked && lengthBytes <= this.dependencies.callerLimits.maxRetryableBodyBytes) {
            return bufferRequestBody(incoming, lengthBytes);
        }
        const { maxStreamedBodyBytes } = this.dependencies.callerLimits;
        if (lengthBytes > maxStreamedBodyBytes) {
            return err(createBodyTooLargeError(maxStreamedBodyBytes, "not-run"));
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
                    new CallerError(
                        { status: 503, code: "claim_expired", outcome: "not-run" },
                        "the claim expired before the call was sent; send the call again",
                    ),
                );
            }
            const sentMs = this.dependencies.scheduler.nowMs();
            recordDecision(this.dependencies, this.request, "sent", { upstream: grant.value.upstream.id });
            const response = await this.dependencies.plain.send(grant.value.upstream, this.createPlainRequest(body), signal);
            if (response.isOk()) {
                this.grants.reportResult(grant.value, undefined);
                this.mayHaveRun = true;
                return ok({ grant: grant.value, response: response.value, sentMs });
            }
            if (body instanceof BodySizeLimiter && body.isLimitExceeded) {
                this.mayHaveRun = true;
                this.endGrantOfOversizedBody(grant.value);
                return err(createBodyTooLargeError(this.dependencies.callerLimits.maxStreamedBodyBytes, "unknown"));
            }
            this.grants.reportResult(grant.value, response.error);
            grant.value.end({ result: signal.aborted ? "cancelled" : "failed", outputTokens: 0 });
            if (!this.tryRetry(response.error, grant.value, body, isRepeatable) || signal.aborted) {
                return err(mapUpstreamError(response.error, this.mayHaveRun));
            }
        }
    }

    /** Ends an attempt that failed because of the caller's body, which says nothing about the health of the upstream. */
    private endGrantOfOversizedBody(grant: Grant): void {
        this.grants.reportResult(grant, { kind: "cancelled", status: undefined, message: "request body exceeded its size limit" });
        grant.end({ result: "cancelled", outputTokens: 0 });
    }

    private async acquire(pool: Pool, signal: AbortSignal): Promise<Result<Grant, CallerError>> {
        const grant = await this.grants.acquire({
            pool,
            service: this.options.service,
            promptTokens: 0,
            maxOutputTokens: plainCallTokens,
            prefixHashes: [],
            waitedMs: this.dependencies.scheduler.nowMs() - this.request.arrivedMs,
            maxQueueMs: this.request.serviceClass.maxQueueMs,
        }, signal);
        return grant.mapErr(refusal => {
            const error = mapDispatchRefusal(refusal);
            return this.mayHaveRun ? new CallerError({ ...error, outcome: "unknown" }, error.message) : error;
        });
    }

    private tryRetry(error: UpstreamError, grant: Grant, body: Buffer | Readable | undefined, isRepeatable: boolean): boolean {
        const mayHaveRun = error.kind === "broken" || error.kind === "silent" || error.kind === "cancelled";
        this.mayHaveRun ||= mayHaveRun;
        this.grants.excludeUpstream(grant);
        const canSendBodyAgain = body === undefined || Buffer.isBuffer(body);
        const candidate = {
            failure: { mayHaveRun, isClientError: false },
            isRepeatable,
            attempts: this.summary.attempts,
            maxAttempts: this.dependencies.callerLimits.maxAttempts,
        };
        const isRetryAdmitted = canSendBodyAgain && admitRetry(candidate, this.dependencies.retryBudget);
        if (isRetryAdmitted) {
            recordDecision(this.dependencies, this.request, "retried", { after: error.kind, upstream: grant.upstream.id });
        }
        return isRetryAdmitted;
    }

    private createPlainRequest(body: Buffer | Readable | undefined): PlainRequest {
        const { headers, method } = this.request.incoming;
        const forwardedHeaders = Object.entries(headers).filter(([name, value]) => value !== undefined && !routerRequestHeaders.has(name));
        return {
            requestId: this.request.requestId,
            method: method ?? "GET",
            target: this.options.target,
            headers: Object.fromEntries(forwardedHeaders) as Record<string, string | string[]>,
            body,
            responseIdleTimeoutMs: this.dependencies.callerLimits.plainIdleTimeoutMs,
            maxResponseBytes: this.dependencies.callerLimits.maxStreamedBodyBytes,
        };
    }

    private async streamResponse(exchange: Exchange): Promise<Result<void, CallerError>> {
        const { response } = exchange;
        const { outgoing } = this.request;
        const forwardedHeaders = Object.entries(response.headers).filter(([name]) => !routerResponseHeaders.has(name));
        outgoing.writeHead(response.status, { ...Object.fromEntries(forwardedHeaders), ...this.createRouterHeaders() });
        this.recordResponse(response.status);
        try {
            await pipeline(response.body, outgoing);
        }
        catch {
            // The headers have been sent, so closing the connection is the only way to signal that the response is truncated.
            outgoing.destroy();
            this.endGrant(exchange, this.request.disconnectSignal.aborted ? "cancelled" : "failed");
            return err(new CallerError({ status: response.status, code: "answer_broken", outcome: "ran" }, "the response was truncated"));
        }
        this.endGrant(exchange, "completed");
        this.summary.isComplete = true;
        return ok();
    }

    private sendBookingResponse(bookingResponse: BookingResponse): void {
        this.request.outgoing.writeHead(bookingResponse.status, {
            "content-type": bookingResponse.contentType,
            "content-length": bookingResponse.body.length,
            ...this.createRouterHeaders(),
        });
        this.request.outgoing.end(bookingResponse.body);
        this.recordResponse(bookingResponse.status);
        this.summary.isComplete = true;
    }

    private recordResponse(status: number): void {
        this.summary.status = status;
        this.summary.outcome = "ran";
        this.summary.firstTokenMs = this.dependencies.scheduler.nowMs() - this.request.arrivedMs;
    }

    private createRouterHeaders(): Record<string, string> {
        return { "x-request-id": this.request.requestId, "x-orioleshelf-outcome": "ran" };
    }

    private endGrant(exchange: Exchange, result: "completed" | "failed" | "cancelled"): void {
        const firstTokenMs = this.dependencies.scheduler.nowMs() - exchange.sentMs;
        exchange.grant.end({ result, outputTokens: 0, firstTokenMs });
    }

    private computeDigest(body: Buffer): string {
        const { method } = this.request.incoming;
        return createHash("sha256").update(`${method} ${this.options.service} ${this.options.target}\n`).update(body).digest("hex");
    }

    private fail(error: CallerError): void {
        this.summary.status = error.status;
        this.summary.outcome = error.outcome;
        this.summary.errorCode = error.code;
        sendCallerError(this.request.outgoing, error, this.request.requestId, !this.request.incoming.complete);
    }
}

function mapBookingError(error: BookingError): CallerError {
    const statuses = { "key-reused": 422, "log-unavailable": 503, "outcome-unknown": 502, "upstream-failed": 502, "cancelled": 499 };
    const code = error.kind.replaceAll("-", "_");
    const status = error.kind === "upstream-failed" && error.outcome === "not-run" ? 503 : statuses[error.kind];
    return new CallerError({ status, code, outcome: error.outcome, retryAfterMs: error.retryAfterMs }, error.message);
}

function createBodyTooLargeError(maxBytes: number, outcome: Outcome): CallerError {
    return new CallerError(
        { status: 413, code: "body_too_large", outcome },
        `request body exceeds the limit of ${maxBytes} bytes; send a smaller body`,
    );
}

/** Reads a complete response body; undefined if it was truncated. */
async function readResponseBody(body: Readable): Promise<Buffer | undefined> {
    const collected = new GrowingBuffer();
    try {
        for await (const chunk of body as AsyncIterable<Buffer>) {
            collected.append(chunk);
        }
        return collected.bytes;
    }
    catch {
        return undefined;
    }
}
