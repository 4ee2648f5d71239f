import { serve } from "@hono/node-server";
import { Hono } from "hono";
import { ResultAsync } from "neverthrow";
import type { MetricsText } from "../services/MetricsText.js";

interface ProbeServerOptions {
    readonly host: string;
    readonly port: number;
    readonly readyPath: string;
    readonly metricsPath: string;
    readonly isReady: () => boolean;
    readonly metrics: MetricsText;
}

/** Answers whether this VM takes callers, and tells its metrics, until `signal` aborts. */
export function startProbeServer(options: ProbeServerOptions, signal: AbortSignal): ResultAsync<void, string> {
    const { host, port, readyPath, metricsPath, isReady, metrics } = options;
    const app = new Hono();
    app.get(readyPath, context => isReady() ? context.text("ready\n") : context.text("not ready\n", 503));
    app.get(metricsPath, async context => context.body(await metrics.text(), 200, { "content-type": metrics.contentType }));
    const listening = new Promise<void>((resolve, reject) => {
        const server = serve({ fetch: app.fetch, hostname: host, port, overrideGlobalObjects: false }, () => {
            resolve();
        });
        server.once("error", reject);
        signal.addEventListener("abort", () => {
            server.close();
            if ("closeAllConnections" in server) {
                server.closeAllConnections();
            }
        }, { once: true });
    });
    return ResultAsync.fromPromise(listening, error => `cannot listen for probes on ${host}:${port} (${String(error)}); free the port`);
}
