import { errAsync, okAsync, ResultAsync } from "neverthrow";
import { Agent, request } from "undici";
import type { Upstream } from "../../schema/config/Upstream.js";
import type { EngineOrder } from "../../schema/orders/EngineOrder.js";
import { EngineReport } from "../../schema/orders/EngineReport.js";
import type { EngineOrderClient } from "./EngineOrderClient.js";
import type { EngineOrderError } from "./EngineOrderError.js";

const maxResponseBytes = 1024 * 1024;

interface HttpResponse {
    readonly status: number;
    readonly body: unknown;
}

/** Order API over HTTP. Each call uses a new connection, as an idle one can fail without notice. */
export class HttpEngineOrderClient implements EngineOrderClient {
    private readonly agent: Agent;

    constructor(private readonly timeoutMs = 2000) {
        this.agent = new Agent({ pipelining: 0, connect: { timeout: timeoutMs }, maxResponseSize: maxResponseBytes });
    }

    /** Closes all connections when `signal` aborts. */
    start(signal: AbortSignal): void {
        signal.addEventListener("abort", () => void this.agent.destroy(), { once: true });
    }

    readState(upstream: Upstream, signal: AbortSignal): ResultAsync<EngineReport, EngineOrderError> {
        return this.call(upstream, "GET", "/orders/state", undefined, signal)
            .mapErr((error): EngineOrderError => ({ kind: "unreachable", message: error.message }))
            .andThen(({ status, body }) => {
                const parsed = EngineReport.safeParse(body);
                return status === 200 && parsed.success
                    ? okAsync(parsed.data)
                    : errAsync<EngineReport, EngineOrderError>(
                        createRefusedError(upstream, `response to the state request has status ${status} and no valid report`),
                    );
            });
    }

    send(upstream: Upstream, order: EngineOrder, signal: AbortSignal): ResultAsync<undefined, EngineOrderError> {
        return this.call(upstream, "POST", "/orders", order, signal).andThen(({ status }) => {
            if (status === 200) {
                return okAsync(undefined);
            }
            const error: EngineOrderError = status === 409
                ? { kind: "stale", message: `engine ${upstream.id} has seen a newer fencing number; another VM holds the lease now` }
                : createRefusedError(upstream, `order failed with status ${status}`);
            return errAsync<undefined, EngineOrderError>(error);
        });
    }

    private call(
        upstream: Upstream,
        method: "GET" | "POST",
        path: string,
        body: EngineOrder | undefined,
        signal: AbortSignal,
    ): ResultAsync<HttpResponse, EngineOrderError> {
        return ResultAsync.fromPromise(this.sendRequest(upstream, method, path, body, signal), (error): EngineOrderError => ({
            kind: "unknown",
            message: `no response from engine ${upstream.id} (${String(error)}); its state is read again before the next order`,
        }));
    }

    private async sendRequest(
        upstream: Upstream,
        method: "GET" | "POST",
        path: string,
        body: EngineOrder | undefined,
        signal: AbortSignal,
    ): Promise<HttpResponse> {
        const response = await request(new URL(path, upstream.url), {
            method,
            dispatcher: this.agent,
            signal: AbortSignal.any([signal, AbortSignal.timeout(this.timeoutMs)]),
            reset: true,
            ...(body === undefined ? {} : { body: JSON.stringify(body), headers: { "content-type": "application/json" } }),
        });
        const text = await response.body.text();
        return { status: response.statusCode, body: parseJson(text) };
    }
}

function createRefusedError(upstream: Upstream, reason: string): EngineOrderError {
    return { kind: "refused", message: `engine ${upstream.id}: ${reason}; check the engine's log` };
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
