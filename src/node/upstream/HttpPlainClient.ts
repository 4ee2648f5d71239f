import { ResultAsync } from "neverthrow";
import type { IncomingHttpHeaders } from "node:http";
import { Readable } from "node:stream";
import type { Dispatcher } from "undici";
import type { Scheduler } from "../../core/util/Scheduler.js";
import { timerAbortReason } from "../../core/util/timerAbortReason.js";
import type { Upstream } from "../../schema/config/Upstream.js";
import type { PlainClient } from "../services/PlainClient.js";
import type { PlainRequest } from "../services/PlainRequest.js";
import type { PlainResponse } from "../services/PlainResponse.js";
import type { UpstreamError } from "../services/UpstreamError.js";
import { confirmsNotRun } from "./confirmsNotRun.js";
import { PlainResponseBody } from "./PlainResponseBody.js";
import { selectForwardedHeaders } from "./selectForwardedHeaders.js";
import { ThrownUpstreamError } from "./ThrownUpstreamError.js";
import { UpstreamConnections } from "./UpstreamConnections.js";
import { UpstreamExchange } from "./UpstreamExchange.js";

const silenceSweepMs = 100;

interface OpenBody {
    readonly body: PlainResponseBody;
    readonly silenceLimitMs: number;
    readonly exchange: UpstreamExchange;
}

/** Sends calls to plain services: any method, bodies streamed both ways. It never sends a call twice. */
export class HttpPlainClient implements PlainClient {
    private readonly openBodies = new Set<OpenBody>();

    constructor(private readonly scheduler: Scheduler, private readonly connections = new UpstreamConnections()) {}

    /** Looks for silent answers until `signal` aborts, then closes every connection. */
    start(signal: AbortSignal): void {
        this.scheduler.every(silenceSweepMs, () => {
            this.failSilentBodies();
        }, signal);
        signal.addEventListener("abort", () => {
            void this.connections.close();
        }, { once: true });
    }

    send(upstream: Upstream, request: PlainRequest, signal: AbortSignal): ResultAsync<PlainResponse, UpstreamError> {
        return ResultAsync.fromPromise(this.exchange(upstream, request, signal), toUpstreamError);
    }

    private async exchange(upstream: Upstream, request: PlainRequest, signal: AbortSignal): Promise<PlainResponse> {
        let open: OpenBody | undefined;
        const exchange: UpstreamExchange = new UpstreamExchange(() => {
            const body = new PlainResponseBody(exchange, request.maxAnswerBytes, () => this.scheduler.nowMs());
            open = { body, silenceLimitMs: request.responseIdleTimeoutMs, exchange };
            this.openBodies.add(open);
            return body;
        });
        const cancel = () => {
            exchange.abort(new ThrownUpstreamError("cancelled", undefined, "the call was cancelled"));
        };
        if (signal.aborted) {
            cancel();
        }
        signal.addEventListener("abort", cancel, { once: true });
        exchange.onFinished = () => {
            signal.removeEventListener("abort", cancel);
            if (open !== undefined) {
                this.openBodies.delete(open);
            }
        };
        const limit = new AbortController();
        this.scheduler.after(request.responseIdleTimeoutMs, () => {
            exchange.abort(silent(request.responseIdleTimeoutMs));
        }, limit.signal);
        try {
            this.connections.dispatch(dispatchOptions(upstream, request), exchange);
            const head = await exchange.responseHead;
            return responseOf(upstream, head, open);
        }
        finally {
            limit.abort(timerAbortReason);
        }
    }

    private failSilentBodies(): void {
        for (const { body, silenceLimitMs, exchange } of this.openBodies) {
            if (body.getIdleMs() > silenceLimitMs) {
                exchange.abort(silent(silenceLimitMs));
            }
        }
    }
}

function responseOf(
    upstream: Upstream,
    head: { status: number; headers: IncomingHttpHeaders; },
    open: OpenBody | undefined,
): PlainResponse {
    if (open === undefined) {
        throw new ThrownUpstreamError("broken", head.status, "upstream sent no body to read");
    }
    if (confirmsNotRun(head.headers)) {
        open.body.stream.destroy();
        throw new ThrownUpstreamError(
            head.status === 503 ? "draining" : "refused",
            head.status,
            "upstream states that it did nothing of the call",
        );
    }
    return { upstreamId: upstream.id, status: head.status, headers: selectForwardedHeaders(head.headers), body: open.body.stream };
}

function dispatchOptions(upstream: Upstream, request: PlainRequest): Dispatcher.DispatchOptions {
    return {
        origin: upstream.url,
        path: request.target,
        method: request.method as Dispatcher.HttpMethod,
        headers: { ...selectForwardedHeaders(request.headers), "x-request-id": request.requestId },
        body: request.body instanceof Readable ? request.body : request.body && Buffer.from(request.body),
    };
}

function silent(limitMs: number): ThrownUpstreamError {
    return new ThrownUpstreamError(
        "silent",
        undefined,
        `upstream sent nothing for ${limitMs} ms; its connection was closed and the next call opens a new one`,
    );
}

function toUpstreamError(error: unknown): UpstreamError {
    return error instanceof ThrownUpstreamError
        ? error
        : new ThrownUpstreamError("broken", undefined, "upstream call failed in an unexpected way");
}
