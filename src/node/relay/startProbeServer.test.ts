import { expect } from "earl";
import { test } from "node:test";
import { freePort } from "../../../proof/processes/freePort.js";
import { startProbeServer } from "./startProbeServer.js";

test("the probe server serves readiness and metrics, answers 404 for other paths, and fails to start on a port in use", async () => {
    const controller = new AbortController();
    const port = await freePort();
    let isReady = false;
    let renderMetrics = () => Promise.resolve("calls 7\n");
    const options = { host: "127.0.0.1", port, readyPath: "/v1/ready", metricsPath: "/metrics", isReady: () => isReady };
    const started = await startProbeServer(
        { ...options, metrics: { contentType: "text/plain; version=0.0.4", render: () => renderMetrics() } },
        controller.signal,
    );
    expect(started.isOk()).toEqual(true);
    const statusOf = async (path: string) => (await fetch(`http://127.0.0.1:${port}${path}`)).status;

    expect(await statusOf("/v1/ready")).toEqual(503);
    isReady = true;
    expect(await statusOf("/v1/ready?from=platform")).toEqual(200);
    const metrics = await fetch(`http://127.0.0.1:${port}/metrics`);
    expect([metrics.status, metrics.headers.get("content-type"), await metrics.text()]).toEqual([
        200,
        "text/plain; version=0.0.4",
        "calls 7\n",
    ]);
    renderMetrics = () => Promise.reject(new Error("a counter is broken"));
    expect(await statusOf("/metrics")).toEqual(500);
    expect(await statusOf("/other")).toEqual(404);
    const second = await startProbeServer({ ...options, metrics: { contentType: "", render: () => renderMetrics() } }, controller.signal);
    expect(second.isErr()).toEqual(true);
    controller.abort();
});
