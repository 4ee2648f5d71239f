import { expect } from "earl";
import { once } from "node:events";
import { createServer } from "node:http";
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

const [bookRoute] = platformConfig.routes;

/** A configuration with a route for each of these paths. */
function createConfig(version: number, ...paths: string[]): string {
    return JSON.stringify({ ...platformConfig, version, routes: paths.map(path => ({ ...bookRoute, name: path, path_prefix: path })) });
}

/** Starts an upstream that counts its calls; `createEntry` returns its entry in the store. */
async function startUpstream(bornMs: number) {
    const calls: string[] = [];
    const server = createServer((incoming, outgoing) => {
        const id = String(incoming.headers["x-attempt-id"]);
        calls.push(id);
        incoming.resume().on("end", () => outgoing.writeHead(200, { "x-attempt-id": id, "x-server-seal": "seal" }).end());
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    controller.signal.addEventListener("abort", () => server.close(), { once: true });
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const createEntry = (sequence: number, state = "ready") =>
        JSON.stringify({ service: "jobs", address, zone: "z1", slots: 6, state, sequence, born: bornMs });
    return { calls, createEntry };
}

// Guards against calls that are refused with 404, or sent to a draining upstream, after the store has come back from an older copy.
test("VMs keep what they know when the store comes back from a copy, and miss nothing that is written after that", async () => {
    const store = new StoreStandin();
    store.era = 7;
    const storeUrl = await store.server.start(controller.signal);
    const [leaving, staying, joined] = await Promise.all([startUpstream(1_000), startUpstream(2_000), startUpstream(3_000)]);
    store.put("keyed.op", "config", createConfig(1, "/book/"));
    store.put("keyed.servers", "leaving", leaving.createEntry(1));
    store.put("keyed.servers", "staying", staying.createEntry(1));
    const copy = store.takeCopy();
    const first = await startPlatformVm("front-1", storeUrl, controller.signal);
    const vms = [first, await startPlatformVm("front-2", storeUrl, controller.signal, [`127.0.0.1:${first.ports.control}`])];
    const waitForAll = async (message: string, field: string, value: unknown) => {
        for (const { log } of vms) {
            await log.waitForLine(line => line["message"] === message && line[field] === value);
        }
    };
    const call = async (path: string) => {
        const statuses: number[] = [];
        for (const [index, { ports }] of vms.entries()) {
            const headers = {
                "host": "h.example",
                "x-attempt-id": `${path}${index}-${Math.random()}`,
                "x-api-key": "key-1",
                "x-deadline-ms": "3000",
            };
            const reply = await request(`http://127.0.0.1:${ports.front}${path}1`, { method: "POST", headers, body: "please" });
            await reply.body.dump();
            statuses.push(reply.statusCode);
        }
        return statuses;
    };
    for (const { log } of vms) {
        await log.waitForLine(line => line["message"] === "ready");
    }
    for (const version of [2, 3, 4]) {
        store.put("keyed.op", "config", createConfig(version, "/book/", "/look/"));
    }
    store.put("keyed.servers", "leaving", leaving.createEntry(2, "draining"));
    store.put("keyed.servers", "joined", joined.createEntry(1));
    await waitForAll("configuration applied", "version", 4);
    await waitForAll("upstream changed", "upstream", "joined");

    // The operator writes on, and the log has grown past the VMs' positions before they read it again.
    store.restore(copy);
    store.put("keyed.op", "config", createConfig(5, "/book/", "/look/", "/new/"));
    for (let index = 0; index < 6; index++) {
        store.put("keyed.op", "note", String(index));
        store.put("keyed.servers", "staying", staying.createEntry(2 + index));
    }
    await waitForAll("configuration applied", "version", 5);
    for (const { log } of vms) {
        for (const stream of ["config", "upstreams"]) {
            await log.waitForLine(line =>
                String(line["message"]).startsWith("platform log was restored from a copy") && line["stream"] === stream
                && line["epoch"] === 8
            );
        }
    }
    const callsBefore = leaving.calls.length;
    for (const path of ["/book/", "/look/", "/new/", "/book/", "/look/", "/new/"]) {
        expect([path, await call(path)]).toEqual([path, [200, 200]]);
    }
    expect(leaving.calls.length).toEqual(callsBefore);
    expect(vms.some(({ log }) => log.lines.some(line => line["message"] === "upstream removed" && line["upstream"] === "joined")))
        .toEqual(false);
    store.put("keyed.servers", "joined", joined.createEntry(2, "draining"));
    for (const { log } of vms) {
        await log.waitForLine(line => line["upstream"] === "joined" && line["isDraining"] === true);
    }
    for (const { child, exited } of vms) {
        child.kill("SIGTERM");
        expect(await exited).toEqual(0);
    }
});
