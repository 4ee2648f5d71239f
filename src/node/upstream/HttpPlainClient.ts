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

const idleCheckIntervalMs = 100;

interface OpenBody {
    readonly body: PlainResponseBody;
    readonly responseIdleTimeoutMs: number;
    readonly exchange: UpstreamExchange;
}

/** Sends calls to plain services: any method, with bodies streamed in both directions. A call is never retried here. */
export class HttpPlainClient implements PlainClient {
    private readonly openBodies = new Set<OpenBody>();

    constructor(private readonly scheduler: Scheduler, private readonly connections = new UpstreamConnections()) {}

    /** Checks for idle responses until `signal` aborts, then closes every connection. */
    start(signal: AbortSignal): void {
        this.scheduler.every(idleCheckIntervalMs, () => {
            this.failIdleBodies();
        }, signal);
        signal.addEventListener("abort", () => {
            void this.connections.close();
        }, { once: true });
    }

    send(upstream: Upstream, request: PlainRequest, signal: AbortSignal): ResultAsync<PlainResponse, UpstreamError> {
        return ResultAsync.fromPromise(this.exchange(upstream, request, signal), toUpstreamError);
    }

    private async exchange(upstream: Upstream, request: PlainRequest, signal: AbortSignal): Promise<PlainResponse> {
        let openBody: OpenBody | undefined;
        const exchange: UpstreamExchange = new UpstreamExchange(() => {
            const body = new PlainResponseBody(exchange, request.maxResponseBytes, () => this.scheduler.nowMs());
            openBody = { body, responseIdleTimeoutMs: request.responseIdleTimeoutMs, exchange };
            this.openBodies.add(openBody);
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
            if (openBody !== undefined) {
                this.openBodies.delete(openBody);
            }
        };
        const timeoutController = new AbortController();
        this.scheduler.after(request.responseIdleTimeoutMs, () => {
            exchange.abort(createIdleTimeoutError(request.responseIdleTimeoutMs));
        }, timeoutController.signal);
        try {
            this.connections.dispatch(createDispatchOptions(upstream, request), exchange);
            const head = await exchange.responseHead;
            return toPlainResponse(upstream, head, openBody);
        }
        finally {
            timeoutController.abort(timerAbortReason);
        }
    }

    private failIdleBodies(): void {
        for (const { body, responseIdleTimeoutMs, exchange } of this.openBodies) {
            if (body.getIdleMs() > responseIdleTimeoutMs) {
                exchange.abort(createIdleTimeoutError(responseIdleTimeoutMs));
            }
        }
    }
}

function toPlainResponse(
    upstream: Upstream,
    head: { status: number; headers: IncomingHttpHeaders; },
    openBody: OpenBody | undefined,
): PlainResponse {
    if (openBody === undefined) {
        throw new ThrownUpstreamError("broken", head.status, "upstream response has no body stream");
    }
    if (confirmsNotRun(head.headers)) {
        openBody.body.stream.destroy();
        throw new ThrownUpstreamError(
            head.status === 503 ? "draining" : "refused",
            head.status,
            "upstream confirmed that it did not run the call",
        );
    }
    return { upstreamId: upstream.id, status: head.status, headers: selectForwardedHeaders(head.headers), body: openBody.body.stream };
}

function createDispatchOptions(upstream: Upstream, request: PlainRequest): Dispatcher.DispatchOptions {
    return {
        origin: upstream.url,
        path: request.target,
        method: request.method as Dispatcher.HttpMethod,
        headers: { ...selectForwardedHeaders(request.headers), "x-request-id": request.requestId },
        body: request.body instanceof Readable ? request.body : request.body && Buffer.from(request.body),
    };
}

function createIdleTimeoutError(timeoutMs: number): ThrownUpstreamError {
    return new ThrownUpstreamError(
        "silent",
        undefined,
        `upstream sent nothing for ${timeoutMs} ms; its connection was closed and the next call opens a new one`,
    );
}

function toUpstreamError(error: unknown): UpstreamError {
    return error instanceof ThrownUpstreamError
        ? error
        : new ThrownUpstreamError("broken", undefined, "upstream call failed with an unexpected error");
}
