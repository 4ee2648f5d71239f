import { ResultAsync } from "neverthrow";
import { createServer, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { callerLoadLimits } from "../../core/relay/callerLoadLimits.js";
import { limitConnections } from "../caller/limitConnections.js";
import { createRateLimitedLogger } from "../logs/createRateLimitedLogger.js";
import type { MetricsSource } from "../services/MetricsSource.js";

const log = createRateLimitedLogger("probe", 5);
/** Probes are one small request each; a client that has not sent it within this time is no probe. */
const httpLimits = { maxHeaderSize: 8_192, headersTimeout: 2_000, requestTimeout: 2_000, connectionsCheckingInterval: 500 };

interface ProbeServerOptions {
    readonly host: string;
    readonly port: number;
    readonly readyPath: string;
    readonly metricsPath: string;
    readonly isReady: () => boolean;
    readonly metrics: MetricsSource;
    readonly maxConnections?: number;
    readonly onConnectionClosed?: (reason: string) => void;
}

/** Serves the readiness probe and the metrics over HTTP until `signal` aborts; the error says why the port could not be opened. */
export function startProbeServer(options: ProbeServerOptions, signal: AbortSignal): ResultAsync<void, string> {
    const { host, port, readyPath, metricsPath, isReady, metrics } = options;
    const { maxConnections = callerLoadLimits.maxProbeConnections, onConnectionClosed } = options;
    const waiting = new WeakMap<Socket, number>();
    let rendering: Promise<string> | undefined;
    // Metrics are rendered once for all requests that wait for them.
    const render = () => {
        rendering ??= metrics.render().finally(() => {
            rendering = undefined;
        });
        return rendering;
    };
    const server = createServer(httpLimits, (request, response) => {
        const { socket } = request;
        const waitingCount = (waiting.get(socket) ?? 0) + 1;
        if (socket.destroyed) {
            return;
        }
        if (waitingCount > callerLoadLimits.maxWaitingProbes) {
            socket.resetAndDestroy();
            onConnectionClosed?.("too_many_probes");
            return;
        }
        waiting.set(socket, waitingCount);
        response.once("close", () => waiting.set(socket, (waiting.get(socket) ?? 1) - 1));
        if (Number(request.headers["content-length"] ?? 0) > 0 || request.headers["transfer-encoding"] !== undefined) {
            response.setHeader("connection", "close");
            sendResponse(response, 413, "text/plain", "requests to this port have no body\n");
            return;
        }
        const path = request.url?.split("?", 1)[0];
        if (request.method !== "GET" || path !== readyPath && path !== metricsPath) {
            sendResponse(response, 404, "text/plain", "not found\n");
        }
        else if (path === readyPath) {
            sendResponse(response, isReady() ? 200 : 503, "text/plain", isReady() ? "ready\n" : "not ready\n");
        }
        else {
            void render().then(text => {
                sendResponse(response, 200, metrics.contentType, text);
            }, (error: unknown) => {
                log("rendering the metrics failed; answering 500", { reason: String(error) });
                sendResponse(response, 500, "text/plain", "rendering the metrics failed; see the log\n");
            });
        }
    });
    limitConnections(server, {
        maxConnections,
        rank: () => 0,
        onClosed: () => {
            onConnectionClosed?.("too_many_probes");
        },
    });
    const listening = new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, resolve);
        signal.addEventListener("abort", () => {
            server.close();
            server.closeAllConnections();
        }, { once: true });
    });
    return ResultAsync.fromPromise(listening, error => `cannot listen for probes on ${host}:${port} (${String(error)}); free the port`);
}

function sendResponse(response: ServerResponse, status: number, contentType: string, body: string): void {
    response.writeHead(status, { "content-type": contentType, "content-length": Buffer.byteLength(body) }).end(body);
}
