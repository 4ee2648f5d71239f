import { ResultAsync } from "neverthrow";
import { createServer, type ServerResponse } from "node:http";
import { createLogger } from "../logs/createLogger.js";
import type { MetricsSource } from "../services/MetricsSource.js";

const log = createLogger("probe");

interface ProbeServerOptions {
    readonly host: string;
    readonly port: number;
    readonly readyPath: string;
    readonly metricsPath: string;
    readonly isReady: () => boolean;
    readonly metrics: MetricsSource;
}

/** Serves the readiness probe and the metrics over HTTP until `signal` aborts; the error says why the port could not be opened. */
export function startProbeServer(options: ProbeServerOptions, signal: AbortSignal): ResultAsync<void, string> {
    const { host, port, readyPath, metricsPath, isReady, metrics } = options;
    const server = createServer((request, response) => {
        const path = request.url?.split("?", 1)[0];
        if (request.method !== "GET" || path !== readyPath && path !== metricsPath) {
            sendResponse(response, 404, "text/plain", "not found\n");
        }
        else if (path === readyPath) {
            sendResponse(response, isReady() ? 200 : 503, "text/plain", isReady() ? "ready\n" : "not ready\n");
        }
        else {
            void metrics.render().then(text => {
                sendResponse(response, 200, metrics.contentType, text);
            }, (error: unknown) => {
                log("rendering the metrics failed; answering 500", { reason: String(error) });
                sendResponse(response, 500, "text/plain", "rendering the metrics failed; see the log\n");
            });
        }
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
