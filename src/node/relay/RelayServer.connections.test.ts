import { expect } from "earl";
import { after, test } from "node:test";
import type { RelayRoute } from "../../schema/relay/RelayRoute.js";
import { openConnection } from "./testing/openConnection.js";
import { startScriptedUpstream } from "./testing/startScriptedUpstream.js";
import { startTestRelay } from "./testing/startTestRelay.js";

const controller = new AbortController();
after(() => {
    controller.abort();
});

/** Starts a relay in front of one upstream, and a caller's connection to it. */
async function start(route: Partial<RelayRoute> = {}) {
    const upstream = await startScriptedUpstream(controller.signal);
    const vm = new AbortController();
    const relay = await startTestRelay(
        { kind: "once", timeoutMs: 60_000, ...route },
        [upstream.address],
        AbortSignal.any([controller.signal, vm.signal]),
    );
    return { upstream, relay, vm, connection: await openConnection(relay.port) };
}

/** A call with these fields and body. */
function formatCall(fields = "Content-Length: 5\r\n\r\nhello"): string {
    return `POST /a/b HTTP/1.1\r\nHost: shop.example\r\nCall-Id: r-1\r\nPatience: 60000\r\n${fields}`;
}

/** Lets the sockets of this process bring about what they can. */
async function settle(): Promise<void> {
    for (let turn = 0; turn < 50; turn++) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

test("responses are not cut when their caller reads them slowly while the VM drains", async () => {
    const { upstream, relay, vm, connection } = await start();
    // More than the buffers of the kernel hold.
    const body = Buffer.alloc(250_000);
    const callCount = 64;
    connection.socket.pause();
    connection.socket.write(formatCall().repeat(callCount));
    for (let received = 0; received < callCount; received++) {
        const { response } = await upstream.nextCall();
        response.writeHead(200, { "call-id": "r-1" }).end(body);
    }
    while (relay.summaries.length < callCount) {
        await settle();
    }
    void relay.server.drain().then(() => {
        vm.abort();
    });
    await settle();
    connection.socket.resume();
    expect((await connection.receiveAll()).length).toBeGreaterThan(callCount * body.length);
});
