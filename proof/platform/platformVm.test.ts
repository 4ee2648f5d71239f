import { expect } from "earl";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { request } from "undici";
import { StoreStandin } from "../../standins/store/StoreStandin.js";
import { exitWithParent } from "../processes/exitWithParent.js";
import { freePort } from "../processes/freePort.js";
import { LogReader } from "./LogReader.js";

const config = {
    version: 3,
    routes: [{
        name: "r-book",
        host: "h.example",
        path_prefix: "/book/",
        kind: "non_idempotent",
        timeout_ms: 1_500,
        target_latency_ms: 300,
        priority: 2,
        service: "jobs",
        max_attempts: 1,
    }],
    services: [{ name: "jobs", health_path: "/health", max_conns: 100 }],
    limits: { header_bytes: 16_384, body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    tenants: [{ name: "ana", api_keys: ["key-1"] }],
};

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
    const controller = new AbortController();
    const store = new StoreStandin();
    const storeUrl = await store.server.start(controller.signal);
    let isBroken = false;
    const upstream = await startUpstream(() => isBroken);
    const address = `127.0.0.1:${(upstream.address() as AddressInfo).port}`;
    store.put("keyed.op", "config", JSON.stringify(config));
    store.put("keyed.servers", "i-1", JSON.stringify({ service: "jobs", address, zone: "z1", slots: 6, state: "ready", sequence: 1 }));
    const [front, ready, control, metrics] = [await freePort(), await freePort(), await freePort(), await freePort()];
    const folder = mkdtempSync(join(tmpdir(), "platform-"));
    const settings = {
        node_name: "front-1",
        ip: "127.0.0.1",
        zone: "z1",
        region: "r1",
        "bind_addrs.front": `127.0.0.1:${front}`,
        "bind_addrs.ready": `127.0.0.1:${ready}`,
        "bind_addrs.control": `127.0.0.1:${control}`,
        "platform.address": storeUrl.replace("http://", ""),
        "bounds.grace_s": "2",
    };
    writeFileSync(join(folder, "boot.conf"), Object.entries(settings).map(([name, value]) => `${name}=${value}`).join("\n"));
    const child = spawn(process.execPath, [...exitWithParent, "--import", "tsx", "platform/main.ts", "--metrics-port", String(metrics)], {
        env: { ...process.env, ORIOLESHELF_CONFIG: join(folder, "boot.conf") },
        stdio: ["pipe", "pipe", "inherit"],
    });
    const exited = once(child, "exit");
    const log = new LogReader(child);
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
    expect((await exited)[0]).toEqual(0);
    expect(log.lines.some(line => line["message"] === "stopped" && line["unfinishedCalls"] === 0)).toEqual(true);

    controller.abort();
    upstream.close();
    rmSync(folder, { recursive: true });
});
