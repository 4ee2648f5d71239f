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
    /** Longest wait for the head of an answer, which engines send on accepting a request. */
    readonly headTimeoutMs: number;
    /** Longest wait for the next bytes of an open answer, the first token included. */
    readonly streamIdleTimeoutMs: number;
}

const log = createLogger("upstream");
const defaultOptions: HttpEngineClientOptions = { headTimeoutMs: 5_000, streamIdleTimeoutMs: 20_000 };
const silenceSweepMs = 100;
/** An engine may take this long to end its response after the last event. */
const lingerLimitMs = 1_000;
const maxErrorBytes = 64 * 1024;

/** Streams completions from engines that speak the OpenAI protocol with our extensions. */
export class HttpEngineClient implements EngineClient {
    private readonly options: HttpEngineClientOptions;
    private readonly streams = new Set<HttpEngineStream>();
    /** Exchanges whose answer is whole while the engine has not ended it, and until when they may take. */
    private readonly lingering = new Map<UpstreamExchange, number>();

    constructor(
        private readonly scheduler: Scheduler,
        options: Partial<HttpEngineClientOptions> = {},
        private readonly connections = new UpstreamConnections(),
    ) {
        this.options = { ...defaultOptions, ...options };
    }

    /** Looks for silent streams until `signal` aborts, then closes every connection. */
    start(signal: AbortSignal): void {
        this.scheduler.every(silenceSweepMs, () => {
            this.failSilentStreams();
            this.closeLingering();
        }, signal);
        signal.addEventListener("abort", () => {
            void this.connections.close();
        }, { once: true });
    }

    /** Resolves when the engine has accepted the request; its tokens follow by iteration. */
    open(upstream: Upstream, request: EngineRequest, signal: AbortSignal): ResultAsync<EngineStream, UpstreamError> {
        return ResultAsync.fromPromise(this.exchange(upstream, request, signal), toUpstreamError);
    }

    private async exchange(upstream: Upstream, request: EngineRequest, signal: AbortSignal): Promise<EngineStream> {
        let stream: HttpEngineStream | undefined;
        const errorBody = new BodyCollector(maxErrorBytes);
        const exchange = new UpstreamExchange(head => {
            if (head.status !== 200) {
                return errorBody;
            }
            stream = this.openStream(upstream, request, exchange);
            return stream;
        });
        const release = this.bindSignals(upstream, request, exchange, signal);
        try {
            this.connections.dispatch(dispatchOptions(upstream, request), exchange);
            const head = await exchange.responseHead;
            if (stream === undefined) {
                throw classifyErrorResponse(head.status, head.headers, await errorBody.whole);
            }
            checkResumed(head.headers, request, stream);
            return stream;
        }
        catch (error) {
            log("engine did not take a request", {
                requestId: request.requestId,
                upstream: upstream.id,
                kind: toUpstreamError(error).kind,
            });
            throw error;
        }
        finally {
            release();
        }
    }

    /** Aborts the exchange with `signal`, and when the engine does not accept the request in time. Returns what ends the time limit. */
    private bindSignals(upstream: Upstream, request: EngineRequest, exchange: UpstreamExchange, signal: AbortSignal): () => void {
        const cancel = () => {
            exchange.abort(cancelled());
        };
        if (signal.aborted) {
            cancel();
        }
        signal.addEventListener("abort", cancel, { once: true });
        exchange.onFinished = () => {
            signal.removeEventListener("abort", cancel);
            this.lingering.delete(exchange);
        };
        const limit = new AbortController();
        this.scheduler.after(this.options.headTimeoutMs, () => {
            exchange.abort(silent(this.options.headTimeoutMs));
            this.cancelOnEngine(upstream, request);
        }, limit.signal);
        return () => {
            limit.abort(timerAbortReason);
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
                exchange.abort(cancelled());
            },
        }, this.scheduler);
        this.streams.add(stream);
        stream.onClosed = failure => {
            this.streams.delete(stream);
            if (failure === undefined) {
                this.lingering.set(exchange, this.scheduler.nowMs() + lingerLimitMs);
            }
            if (failure !== undefined && failure.kind !== "cancelled") {
                log("stream broke", {
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

    private failSilentStreams(): void {
        const nowMs = this.scheduler.nowMs();
        for (const stream of this.streams) {
            if (stream.getIdleMs(nowMs) > this.options.streamIdleTimeoutMs) {
                stream.fail(silent(this.options.streamIdleTimeoutMs));
            }
        }
    }

    private closeLingering(): void {
        const nowMs = this.scheduler.nowMs();
        for (const [exchange, untilMs] of this.lingering) {
            if (nowMs > untilMs) {
                exchange.abort(cancelled());
            }
        }
    }

    /** Cancels over another connection: the engine may never see that a silent one was closed. */
    private cancelOnEngine(upstream: Upstream, request: EngineRequest): void {
        const exchange = new UpstreamExchange(() => new BodyCollector(maxErrorBytes));
        this.connections.dispatch({
            origin: upstream.url,
            path: "/v1/cancel",
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify({ request_id: request.requestId }),
        }, exchange);
        const limit = new AbortController();
        exchange.onFinished = () => {
            limit.abort(timerAbortReason);
        };
        this.scheduler.after(this.options.headTimeoutMs, () => {
            exchange.abort(silent(this.options.headTimeoutMs));
        }, limit.signal);
    }
}

function dispatchOptions(upstream: Upstream, request: EngineRequest): Dispatcher.DispatchOptions {
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

/** An engine that does not resume would start over, and the caller would get its tokens twice. */
function checkResumed(headers: IncomingHttpHeaders, request: EngineRequest, stream: HttpEngineStream): void {
    if (request.resumeFromToken > 0 && headers["x-resumed-from"] !== String(request.resumeFromToken)) {
        const failure = new ThrownUpstreamError("refused", undefined, "engine cannot resume an answer; set its pool to one that can");
        stream.fail(failure);
        throw failure;
    }
}

function cancelled(): ThrownUpstreamError {
    return new ThrownUpstreamError("cancelled", undefined, "the request was cancelled");
}

function silent(limitMs: number): ThrownUpstreamError {
    return new ThrownUpstreamError(
        "silent",
        undefined,
        `engine sent nothing for ${limitMs} ms; its connection was closed and the next call opens a new one`,
    );
}

function toUpstreamError(error: unknown): UpstreamError {
    return error instanceof ThrownUpstreamError
        ? error
        : new ThrownUpstreamError("broken", undefined, "engine call failed in an unexpected way");
}
