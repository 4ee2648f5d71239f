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

const entry = { service: "jobs", zone: "z1", slots: 6, state: "ready", sequence: 1, born: 1_700_000_000_000 };
const nested = "[".repeat(200_000) + "]".repeat(200_000);
/** Values that another writer may leave in the list of upstreams. */
const oddValues = [
    nested,
    `{"service":"jobs","slots":${nested}}`,
    "\0\u{fffd}{",
    ...["127.0.0.1:0", "127.0.0.1:99999", "999.1.1.1:80", "%:80", "a b:1"].map(address =>
        JSON.stringify({ ...entry, address, slots: 1e300 })
    ),
    JSON.stringify({ ...entry, address: "127.0.0.1:1", slots: -1 }),
    JSON.stringify({ ...entry, address: "127.0.0.1:1", born: 1e300 }),
];

test("odd entries in the list of upstreams neither end a VM, stop it following the list, nor cost a call", async () => {
    const store = new StoreStandin();
    const storeUrl = await store.server.start(controller.signal);
    const upstream = createServer((incoming, outgoing) => {
        const headers = { "x-attempt-id": String(incoming.headers["x-attempt-id"]), "x-server-seal": "seal" };
        incoming.resume().on("end", () => outgoing.writeHead(200, headers).end());
    }).listen(0, "127.0.0.1");
    await once(upstream, "listening");
    controller.signal.addEventListener("abort", () => upstream.close(), { once: true });
    const address = `127.0.0.1:${(upstream.address() as AddressInfo).port}`;
    const putOddEntries = (...ids: string[]) => {
        for (const [index, value] of oddValues.entries()) {
            for (const id of ids) {
                store.put("keyed.servers", id.replace("#", String(index)), value);
            }
        }
    };
    store.put("keyed.op", "config", JSON.stringify(platformConfig));
    store.put("keyed.servers", "i-1", JSON.stringify({ ...entry, address }));
    putOddEntries("odd-#", "odd\n\u{fffd}");
    const first = await startPlatformVm("front-1", storeUrl, controller.signal);
    const vms = [first, await startPlatformVm("front-2", storeUrl, controller.signal, [`127.0.0.1:${first.ports.control}`])];
    const callAll = async (prefix: string) => {
        for (const { ports, log } of vms) {
            await log.waitForLine(line => line["message"] === "ready");
            for (let index = 0; index < 5; index++) {
                const headers = { host: "h.example", "x-attempt-id": `${prefix}-${index}`, "x-api-key": "key-1", "x-deadline-ms": "3000" };
                const reply = await request(`http://127.0.0.1:${ports.front}/book/1`, { method: "POST", headers, body: "please" });
                expect([prefix, reply.statusCode, await reply.body.text()]).toEqual([prefix, 200, ""]);
            }
        }
    };
    await callAll("at start");
    const ignored = await first.log.waitForLine(line => String(line["reason"]).startsWith("slots -1: "));
    expect(ignored["message"]).toEqual("upstream entry cannot be decoded; ignoring it");

    // One VM reads the list for both from now on.
    const forwarded = vms.map(({ log }) =>
        log.waitForLine(line => line["message"] === "receiving records from another VM" && line["stream"] === "upstreams")
    );
    await Promise.race(forwarded);
    putOddEntries("i-1");
    store.put("keyed.servers", "i-2", JSON.stringify({ ...entry, address }));
    for (const { log } of vms) {
        await log.waitForLine(line => line["message"] === "upstream changed" && line["upstream"] === "i-2");
    }
    await callAll("while running");

    for (const { child, exited } of vms) {
        child.kill("SIGTERM");
        expect(await exited).toEqual(0);
    }
});
