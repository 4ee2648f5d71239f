import { expect } from "earl";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, test } from "node:test";
import type { Upstream } from "../../schema/config/Upstream.js";
import type { EngineOrder } from "../../schema/orders/EngineOrder.js";
import { HttpEngineOrderClient } from "./HttpEngineOrderClient.js";

let stop = new AbortController();

afterEach(() => {
    stop.abort();
    stop = new AbortController();
});

const order: EngineOrder = { fencingNumber: 7, orderId: "o-1", action: "load", model: "chat", version: "2", role: "both" };
const report = { models: [{ model: "chat", version: "1", state: "ready" }], role: "both", fencingNumber: 6 };

async function startEngine(handle: (request: IncomingMessage, response: ServerResponse, body: string) => void): Promise<Upstream> {
    const server = createServer((request, response) => {
        let body = "";
        request.on("data", chunk => body += String(chunk)).on("end", () => {
            handle(request, response, body);
        });
    });
    stop.signal.addEventListener("abort", () => {
        server.close();
        server.closeAllConnections();
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    return { id: "engine-1", url, availabilityZone: "nadi", leaving: false };
}

function createClient(timeoutMs = 5000): HttpEngineOrderClient {
    const client = new HttpEngineOrderClient(timeoutMs);
    client.start(stop.signal);
    return client;
}

test("state reads and orders use the expected methods, paths and bodies", async () => {
    const seen: unknown[] = [];
    const engine = await startEngine((request, response, body) => {
        seen.push([request.method, request.url, body === "" ? undefined : JSON.parse(body)]);
        response.end(request.method === "GET" ? JSON.stringify(report) : "");
    });
    const client = createClient();
    expect((await client.readState(engine, stop.signal))._unsafeUnwrap()).toEqual(report as never);
    expect((await client.send(engine, order, stop.signal)).isOk()).toEqual(true);
    expect(seen).toEqual([["GET", "/orders/state", undefined], ["POST", "/orders", order]]);
});

test("a 409, a 500 and a state response without a report map to distinct error kinds", async () => {
    let status = 409;
    const engine = await startEngine((...[, response]) => {
        response.writeHead(status).end("{}");
    });
    const client = createClient();
    expect((await client.send(engine, order, stop.signal))._unsafeUnwrapErr().kind).toEqual("stale");
    status = 500;
    expect((await client.send(engine, order, stop.signal))._unsafeUnwrapErr().kind).toEqual("refused");
    status = 200;
    expect((await client.readState(engine, stop.signal))._unsafeUnwrapErr().kind).toEqual("refused");
});

test(
    "an order whose response is lost or times out is unknown; a state read that times out is unreachable",
    { timeout: 10_000 },
    async () => {
        const lost = await startEngine((...[, response]) => {
            response.destroy();
        });
        const silent = await startEngine(() => undefined);
        expect((await createClient().send(lost, order, stop.signal))._unsafeUnwrapErr().kind).toEqual("unknown");
        expect((await createClient(50).send(silent, order, stop.signal))._unsafeUnwrapErr().kind).toEqual("unknown");
        expect((await createClient(50).readState(silent, stop.signal))._unsafeUnwrapErr().kind).toEqual("unreachable");
    },
);
