import { expect } from "earl";
import { once } from "node:events";
import { Agent, createServer, request as httpRequest } from "node:http";
import type { AddressInfo } from "node:net";
import { after, test } from "node:test";
import { createSeededRandom } from "../../src/core/util/createSeededRandom.js";
import { StoreStandin } from "../../standins/store/StoreStandin.js";
import { platformConfig } from "./platformConfig.js";
import { startPlatformVm } from "./startPlatformVm.js";

const controller = new AbortController();
after(() => {
    controller.abort();
});

const callIntervalMs = 15;
/** Longest work of the upstream; longer than calls that come late in the grace period have. */
const maxWorkMs = 1_400;

interface EndedCall {
    readonly id: string;
    readonly status: number | "no response";
    readonly isComplete: boolean;
    readonly body: string;
}

function sendCall(port: number, id: string, agent: Agent | false): Promise<EndedCall> {
    return new Promise(resolve => {
        const headers = { host: "h.example", "x-attempt-id": id, "x-api-key": "key-1", "x-deadline-ms": "3000" };
        const request = httpRequest({ host: "127.0.0.1", port, path: "/book/1", method: "POST", agent, headers }, response => {
            let body = "";
            response.on("data", chunk => body += String(chunk)).on("error", () => undefined).on("close", () => {
                resolve({ id, status: response.statusCode ?? "no response", isComplete: response.complete, body });
            });
        });
        request.on("error", () => {
            resolve({ id, status: "no response", isComplete: false, body: "" });
        });
        request.end("please");
    });
}

test("calls that come during the whole grace period of a planned stop are answered, or refused before an upstream has them", async () => {
    const random = createSeededRandom(7);
    const receivedIds = new Set<string>();
    const upstream = createServer((incoming, outgoing) => {
        const id = String(incoming.headers["x-attempt-id"]);
        receivedIds.add(id);
        incoming.resume();
        setTimeout(() => {
            outgoing.writeHead(200, { "x-attempt-id": id, "x-server-seal": "seal" }).end(id);
        }, random() * maxWorkMs);
    }).listen(0, "127.0.0.1");
    await once(upstream, "listening");
    controller.signal.addEventListener("abort", () => upstream.close(), { once: true });
    const store = new StoreStandin();
    const storeUrl = await store.server.start(controller.signal);
    const address = `127.0.0.1:${(upstream.address() as AddressInfo).port}`;
    store.put("keyed.op", "config", JSON.stringify(platformConfig));
    store.put("keyed.servers", "i-1", JSON.stringify({ service: "jobs", address, zone: "z1", slots: 6, state: "ready", sequence: 1 }));
    const { child, log, ports, exited } = await startPlatformVm("front-1", storeUrl, controller.signal);
    await log.waitForLine(line => line["message"] === "ready");

    const agent = new Agent({ keepAlive: true });
    const calls: Promise<EndedCall>[] = [];
    const send = () => {
        calls.push(sendCall(ports.front, `id-${calls.length}`, calls.length % 2 === 0 ? agent : false));
    };
    const sender = setInterval(send, callIntervalMs);
    await log.waitForLine(line => line["message"] === "ended");
    child.kill("SIGTERM");
    expect(await exited).toEqual(0);
    clearInterval(sender);
    const ended = await Promise.all(calls);
    agent.destroy();

    const passedOn = ended.filter(({ id }) => receivedIds.has(id));
    expect(passedOn.filter(({ isComplete }) => !isComplete)).toEqual([]);
    const answered = passedOn.filter(({ id, body }) => body === id);
    const told = passedOn.filter(({ status, body }) => status === 502 && body.includes('"outcome":"unknown"'));
    expect(answered.length + told.length).toEqual(passedOn.length);
    const refused = ended.filter(({ status }) => status === 503);
    expect(refused.every(({ id, body }) => !receivedIds.has(id) && body.includes('"outcome":"not-run"'))).toEqual(true);
    expect([answered.length > 0, refused.length > 0]).toEqual([true, true]);
});
