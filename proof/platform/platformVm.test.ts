import { expect } from "earl";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { after, test } from "node:test";
import { request } from "undici";
import { StoreStandin } from "../../standins/store/StoreStandin.js";
import { platformConfig } from "./platformConfig.js";
import { startPlatformVm } from "./startPlatformVm.js";

const controller = new AbortController();
after(() => {
    controller.abort();
});

const slowAnswerMs = 700;

/** Starts an upstream that answers with the tenant of the call, delayed for ids that start with `slow`; while `isBroken` returns true it resets the connection instead. */
async function startUpstream(isBroken: () => boolean): Promise<Server> {
    const upstream = createServer((incoming, outgoing) => {
        incoming.resume().on("end", () => {
            if (isBroken()) {
                incoming.socket.resetAndDestroy();
                return;
            }
            const id = String(incoming.headers["x-attempt-id"]);
            setTimeout(() => {
                outgoing.writeHead(200, { "x-attempt-id": id, "x-server-seal": "seal" });
                outgoing.end(String(incoming.headers["x-tenant"]));
            }, id.startsWith("slow") ? slowAnswerMs : 0);
        });
    }).listen(0, "127.0.0.1");
    await once(upstream, "listening");
    controller.signal.addEventListener("abort", () => upstream.close(), { once: true });
    return upstream;
}

async function send(port: number, path: string, headers?: Record<string, string>): Promise<{ status: number; text: string; }> {
    const reply = await request(
        `http://127.0.0.1:${port}${path}`,
        headers === undefined ? {} : { method: "POST", headers, body: "please" },
    );
    return { status: reply.statusCode, text: await reply.body.text() };
}

test("a VM on the platform serves calls, logs a failed call under its id, and finishes in-flight calls before it exits on SIGTERM", async () => {
    const store = new StoreStandin();
    const storeUrl = await store.server.start(controller.signal);
    let isBroken = false;
    const upstream = await startUpstream(() => isBroken);
    const address = `127.0.0.1:${(upstream.address() as AddressInfo).port}`;
    store.put("keyed.op", "config", JSON.stringify(platformConfig));
    store.put("keyed.servers", "i-1", JSON.stringify({ service: "jobs", address, zone: "z1", slots: 6, state: "ready", sequence: 1 }));
    const { child, log, ports, exited } = await startPlatformVm("front-1", storeUrl, controller.signal);
    const { front, ready, metrics } = ports;
    await log.waitForLine(line => line["message"] === "starting");
    child.kill("SIGHUP");
    await log.waitForLine(line => line["message"] === "ready");
    const book = (id: string) =>
        send(front, "/book/1", { host: "h.example", "x-attempt-id": id, "x-api-key": "key-1", "x-deadline-ms": "3000" });

    expect((await send(ready, "/v1/ready")).status).toEqual(200);
    expect(await book("id-1")).toEqual({ status: 200, text: "ana" });

    isBroken = true;
    expect((await book("id-2")).status).toEqual(502);
    await log.waitForLine(line => line["requestId"] === "id-2" && line["message"] === "ended");
    expect(log.messagesOf("id-2")).toEqual(["placed", "upstream failed", "ended"]);
    const { text } = await send(metrics, "/metrics");
    expect(text).toMatchRegex(/orioleshelf_request_failures_total\{[^}]*code="upstream_broken"[^}]*\} 1/);
    expect(text).toMatchRegex(/orioleshelf_request_seconds_bucket/);
    expect((await send(front, "/unknown", { host: "h.example", "x-attempt-id": "id-3", "x-api-key": "key-1" })).status).toEqual(404);
    const later = await send(metrics, "/metrics");
    expect(later.text).toMatchRegex(/orioleshelf_refusals_total\{status="404",reason="no-route"\} 1/);
    expect(later.text).toMatchRegex(/orioleshelf_config_version 3\n/);
    expect(later.text).toMatchRegex(/orioleshelf_log_next_offset\{stream="config"\} \d/);
    expect(later.text).toMatchRegex(/orioleshelf_log_silence_seconds\{stream="config",source="store"\} \d/);

    child.kill("SIGHUP");
    await log.waitForLine(line => String(line["message"]).startsWith("SIGHUP received"));
    isBroken = false;
    const slow = book("slow-1");
    await log.waitForLine(line => line["requestId"] === "slow-1" && line["message"] === "placed");
    child.kill("SIGTERM");
    await log.waitForLine(line => line["message"] === "stopping");
    // A second SIGTERM has no effect: the in-flight call is still answered.
    child.kill("SIGTERM");
    expect((await send(ready, "/v1/ready")).status).toEqual(503);
    expect(await slow).toEqual({ status: 200, text: "ana" });
    expect(await exited).toEqual(0);
    expect(log.lines.some(line => line["message"] === "stopped" && line["unfinishedCalls"] === 0)).toEqual(true);
});
