import { ResultAsync } from "neverthrow";
import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import type { Scheduler } from "../../core/util/Scheduler.js";
import { timerAbortReason } from "../../core/util/timerAbortReason.js";
import type { Upstream } from "../../schema/config/Upstream.js";
import { createLogger } from "../logs/createLogger.js";
import type { EngineClient } from "../services/EngineClient.js";
import type { EngineRequest } from "../services/EngineRequest.js";
import type { EngineStream } from "../services/EngineStream.js";
import type { UpstreamError } from "../services/UpstreamError.js";
import { BodyCollector } from "./BodyCollector.js";
import { classifyErrorResponse } from "./classifyErrorResponse.js";
import { HttpEngineStream } from "./HttpEngineStream.js";
import { ThrownUpstreamError } from "./ThrownUpstreamError.js";
import { UpstreamConnections } from "./UpstreamConnections.js";
import { UpstreamExchange } from "./UpstreamExchange.js";

interface HttpEngineClientOptions {
    /** Longest wait for the response head, which engines send when they accept a request. */
    readonly headTimeoutMs: number;
    /** Longest wait for the next bytes of an open response, the first token included. */
    readonly streamIdleTimeoutMs: number;
}

const log = createLogger("upstream");
const defaultOptions: HttpEngineClientOptions = { headTimeoutMs: 5_000, streamIdleTimeoutMs: 20_000 };
const idleCheckIntervalMs = 100;
/** Longest wait for an engine to end its response after the `[DONE]` event. */
const responseEndTimeoutMs = 1_000;
const maxErrorBodyBytes = 64 * 1024;

/** Streams completions from engines that speak the OpenAI protocol with the extensions of this router. */
export class HttpEngineClient implements EngineClient {
    private readonly options: HttpEngineClientOptions;
    private readonly streams = new Set<HttpEngineStream>();
    /** Exchanges that have received `[DONE]` but whose response the engine has not ended, with the time at which each is aborted. */
    private readonly endDeadlines = new Map<UpstreamExchange, number>();

    constructor(
        private readonly scheduler: Scheduler,
        options: Partial<HttpEngineClientOptions> = {},
        private readonly connections = new UpstreamConnections(),
    ) {
        this.options = { ...defaultOptions, ...options };
    }

    /** Checks for idle streams until `signal` aborts, then closes every connection. */
    start(signal: AbortSignal): void {
        this.scheduler.every(idleCheckIntervalMs, () => {
            this.failIdleStreams();
            this.abortOverdueExchanges();
        }, signal);
        signal.addEventListener("abort", () => {
            void this.connections.close();
        }, { once: true });
    }

    /** Resolves when the engine has accepted the request; its events follow through `EngineStream.relay`. */
    open(upstream: Upstream, request: EngineRequest, signal: AbortSignal): ResultAsync<EngineStream, UpstreamError> {
        return ResultAsync.fromPromise(this.exchange(upstream, request, signal), toUpstreamError);
    }

    private async exchange(upstream: Upstream, request: EngineRequest, signal: AbortSignal): Promise<EngineStream> {
        let stream: HttpEngineStream | undefined;
        const errorBody = new BodyCollector(maxErrorBodyBytes);
        const exchange = new UpstreamExchange(head => {
            if (head.status !== 200) {
                return errorBody;
            }
            stream = this.openStream(upstream, request, exchange);
            return stream;
        });
        const clearHeadTimeout = this.abortOnSignalOrHeadTimeout(upstream, request, exchange, signal);
        try {
            this.connections.dispatch(createDispatchOptions(upstream, request), exchange);
            const head = await exchange.responseHead;
            if (stream === undefined) {
                throw classifyErrorResponse(head.status, head.headers, await errorBody.completeText);
            }
            assertResumed(head.headers, request, stream);
            return stream;
        }
        catch (error) {
            log("engine did not accept the request", {
                requestId: request.requestId,
                upstream: upstream.id,
                kind: toUpstreamError(error).kind,
            });
            throw error;
        }
        finally {
            clearHeadTimeout();
        }
    }

    /** Aborts the exchange when `signal` aborts or the response head times out. Returns a function that clears the head timeout. */
    private abortOnSignalOrHeadTimeout(
        upstream: Upstream,
        request: EngineRequest,
        exchange: UpstreamExchange,
        signal: AbortSignal,
    ): () => void {
        const cancel = () => {
            exchange.abort(createCancelledError());
        };
        if (signal.aborted) {
            cancel();
        }
        signal.addEventListener("abort", cancel, { once: true });
        exchange.onFinished = () => {
            signal.removeEventListener("abort", cancel);
            this.endDeadlines.delete(exchange);
        };
        const timeoutController = new AbortController();
        this.scheduler.after(this.options.headTimeoutMs, () => {
            exchange.abort(createIdleTimeoutError(this.options.headTimeoutMs));
            this.cancelOnEngine(upstream, request);
        }, timeoutController.signal);
        return () => {
            timeoutController.abort(timerAbortReason);
        };
    }

    private openStream(upstream: Upstream, request: EngineRequest, exchange: UpstreamExchange): HttpEngineStream {
        const stream = new HttpEngineStream(upstream.id, request.resumeFromToken, {
            pause: () => {
                exchange.pause();
            },
            resume: () => {
                exchange.resume();
            },
            cancel: () => {
                exchange.abort(createCancelledError());
            },
        }, this.scheduler);
        this.streams.add(stream);
        stream.onClosed = failure => {
            this.streams.delete(stream);
            if (failure === undefined) {
                this.endDeadlines.set(exchange, this.scheduler.nowMs() + responseEndTimeoutMs);
            }
            if (failure !== undefined && failure.kind !== "cancelled") {
                log("engine stream failed", {
                    requestId: request.requestId,
                    upstream: upstream.id,
                    kind: failure.kind,
                    tokens: stream.receivedTokens,
                });
            }
            if (failure?.kind === "silent") {
                this.cancelOnEngine(upstream, request);
            }
        };
        return stream;
    }

    private failIdleStreams(): void {
        const nowMs = this.scheduler.nowMs();
        for (const stream of this.streams) {
            if (stream.getIdleMs(nowMs) > this.options.streamIdleTimeoutMs) {
                stream.fail(createIdleTimeoutError(this.options.streamIdleTimeoutMs));
            }
        }
    }

    private abortOverdueExchanges(): void {
        const nowMs = this.scheduler.nowMs();
        for (const [exchange, deadlineMs] of this.endDeadlines) {
            if (nowMs > deadlineMs) {
                exchange.abort(createCancelledError());
            }
        }
    }

    /** Cancels the request over another connection, because the engine may not notice that the unresponsive one was closed. */
    private cancelOnEngine(upstream: Upstream, request: EngineRequest): void {
        const exchange = new UpstreamExchange(() => new BodyCollector(maxErrorBodyBytes));
        this.connections.dispatch({
            origin: upstream.url,
            path: "/v1/cancel",
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify({ request_id: request.requestId }),
        }, exchange);
        const timeoutController = new AbortController();
        exchange.onFinished = () => {
            timeoutController.abort(timerAbortReason);
        };
        this.scheduler.after(this.options.headTimeoutMs, () => {
            exchange.abort(createIdleTimeoutError(this.options.headTimeoutMs));
        }, timeoutController.signal);
    }
}

function createDispatchOptions(upstream: Upstream, request: EngineRequest): Dispatcher.DispatchOptions {
    return {
        origin: upstream.url,
        path: request.endpoint,
        method: "POST",
        headers: { "content-type": "application/json", "accept": "text/event-stream", "x-request-id": request.requestId },
        body: JSON.stringify({
            ...request.body,
            stream: true,
            priority: request.priority,
            ...(request.resumeFromToken > 0 ? { resume_from_token: request.resumeFromToken, resume_prefix: request.resumePrefix } : {}),
        }),
    };
}

/** Fails a stream that does not resume at the requested token: an engine without support for resuming starts over, and the caller would receive the same tokens twice. */
function assertResumed(headers: IncomingHttpHeaders, request: EngineRequest, stream: HttpEngineStream): void {
    if (request.resumeFromToken > 0 && headers["x-resumed-from"] !== String(request.resumeFromToken)) {
        const failure = new ThrownUpstreamError(
            "refused",
            undefined,
            "engine cannot resume a response; replace it in its pool with one that can",
        );
        stream.fail(failure);
        throw failure;
    }
}

function createCancelledError(): ThrownUpstreamError {
    return new ThrownUpstreamError("cancelled", undefined, "the request was cancelled");
}

function createIdleTimeoutError(timeoutMs: number): ThrownUpstreamError {
    return new ThrownUpstreamError(
        "silent",
        undefined,
        `engine sent nothing for ${timeoutMs} ms; its connection was closed and the next call opens a new one`,
    );
}

function toUpstreamError(error: unknown): UpstreamError {
    return error instanceof ThrownUpstreamError
        ? error
        : new ThrownUpstreamError("broken", undefined, "engine request failed with an unexpected error");
}
