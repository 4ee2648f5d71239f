import { expect } from "earl";
import { subscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
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

function findStatuses(text: string): (string | undefined)[] {
    return [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(match => match[1]);
}

/** Lets the sockets of this process bring about what they can. */
async function settle(): Promise<void> {
    for (let turn = 0; turn < 50; turn++) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

for (const framing of ["content-length", "chunks"]) {
    test(`a call whose body, sent with ${framing}, is over the limit is refused before its connection ends, even if its caller only reads later`, async () => {
        const { connection } = await start();
        const body = Buffer.alloc(20_000_000);
        const isChunked = framing === "chunks";
        connection.socket.pause();
        connection.socket.write(formatCall(isChunked ? "Transfer-Encoding: chunked\r\n\r\n" : `Content-Length: ${body.length}\r\n\r\n`));
        connection.socket.write(isChunked ? Buffer.concat([Buffer.from(`${body.length.toString(16)}\r\n`), body]) : body);
        const writeError = await new Promise(resolve => connection.socket.write(isChunked ? "\r\n0\r\n\r\n" : "", resolve));
        connection.socket.resume();
        expect([writeError ?? undefined, findStatuses(await connection.receive(/too_large/))]).toEqual([undefined, ["413"]]);
    });
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

for (
    const { name, firstCall, rest, isAnswered } of [
        { name: "a malformed call", firstCall: formatCall(), rest: "BAD\r\n\r\n", isAnswered: true },
        {
            name: "bytes after its last call",
            firstCall: formatCall("Connection: close\r\nContent-Length: 0\r\n\r\n"),
            rest: "BAD\r\n\r\n",
            isAnswered: false,
        },
    ]
) {
    test(`a response is not cut when its caller sends ${name} before it`, async () => {
        const { upstream, connection } = await start();
        connection.socket.write(firstCall + rest);
        const { response } = await upstream.nextCall();
        await settle();
        response.writeHead(200, { "call-id": "r-1" }).end("whole");
        expect(findStatuses(await connection.receiveAll())).toEqual(isAnswered ? ["200", "400"] : ["200"]);
    });
}

test("a stream is not cut when its caller sends a malformed call after its first event", async () => {
    const { upstream, connection } = await start({ kind: "stream" });
    connection.socket.write(formatCall());
    const { response } = await upstream.nextCall();
    response.writeHead(200, { "call-id": "r-1", "content-type": "text/event-stream" }).write("id: 4\ndata: a\n\n");
    await connection.receive(/data: a/);
    connection.socket.write("BAD\r\n\r\n");
    await settle();
    response.end("id: 8\ndata: b\n\n");
    expect(await connection.receiveAll()).toMatchRegex(/data: b\n\n\r\n0\r\n\r\nHTTP\/1\.1 400 /);
});

test("a response is not cut when the head of the next call does not arrive in time", async () => {
    const { upstream, relay, connection } = await start();
    relay.server.setLimits({ headerTimeoutMs: 1, idleTimeoutMs: 15_000 });
    connection.socket.write(`${formatCall()}POST /a/b HTTP/1.1\r\n`);
    const { response } = await upstream.nextCall();
    const later = await openConnection(relay.port);
    later.socket.write("POST /a/b HTTP/1.1\r\n");
    await later.receive(/ 408 /);
    response.writeHead(200, { "call-id": "r-1" }).end("whole");
    expect(findStatuses(await connection.receiveAll())).toEqual(["200", "408"]);
});

for (
    const { name, bytes, status } of [
        { name: "malformed call", bytes: "BAD\r\n\r\n", status: "400" },
        { name: "call with a malformed body", bytes: formatCall("Transfer-Encoding: chunked\r\n\r\n!\r\n"), status: "400" },
        { name: "call that does not arrive in time", bytes: "POST /a/b HTTP/1.1\r\n", status: "408" },
    ]
) {
    test(`a ${name} is refused on a connection that has carried a response`, async () => {
        const { upstream, relay, connection } = await start();
        relay.server.setLimits({ headerTimeoutMs: 1, idleTimeoutMs: 15_000 });
        connection.socket.write(formatCall());
        const { response } = await upstream.nextCall();
        response.writeHead(200, { "call-id": "r-1" }).end("whole");
        await connection.receive(/whole/);
        connection.socket.write(bytes);
        expect(findStatuses(await connection.receiveAll())).toEqual(["200", status]);
    });
}

test("a call that follows a response with connection: close is not passed on to an upstream, where it would be cut off", async () => {
    const { upstream, relay, connection } = await start();
    relay.server.disableKeepAlive(Infinity);
    connection.socket.write(formatCall().repeat(2));
    const { response } = await upstream.nextCall();
    await settle();
    response.writeHead(200, { "call-id": "r-1" }).end("whole");
    expect(findStatuses(await connection.receiveAll())).toEqual(["200"]);
    expect([relay.loadTracker.callsInFlight("u0"), upstream.untakenCalls()]).toEqual([0, 0]);
});

test("a call that was refused because it was late is not passed on to an upstream when the rest of it arrives", async () => {
    const { upstream, relay, connection } = await start();
    relay.server.setLimits({ headerTimeoutMs: 1, idleTimeoutMs: 15_000 });
    const call = formatCall();
    connection.socket.allowHalfOpen = true;
    connection.socket.write(call.slice(0, 20));
    await connection.receive(/ 408 /);
    connection.socket.end(call.slice(20));
    expect(findStatuses(await connection.receiveAll())).toEqual(["408"]);
    expect([relay.loadTracker.callsInFlight("u0"), upstream.untakenCalls()]).toEqual([0, 0]);
});

test("the caller of a call in flight is told that its connection will be closed when the VM begins to stop", async () => {
    const { upstream, relay, connection } = await start();
    connection.socket.write(formatCall());
    const { response } = await upstream.nextCall();
    relay.server.disableKeepAlive(Infinity);
    response.writeHead(200, { "call-id": "r-1" }).end("whole");
    expect(await connection.receive(/whole/)).toMatchRegex(/connection: close/i);
});

test("a connection is kept for as long as its last response promised when the idle timeout is shortened during that response", async () => {
    const { upstream, relay, connection } = await start({ kind: "stream" });
    const vmSocket = new Promise<Socket>(resolve => {
        subscribe("http.server.request.start", message => {
            resolve((message as { readonly socket: Socket; }).socket);
        });
    });
    connection.socket.write(formatCall());
    const { response } = await upstream.nextCall();
    response.writeHead(200, { "call-id": "r-1", "content-type": "text/event-stream" }).write("id: 4\ndata: a\n\n");
    expect(await connection.receive(/data: a/)).toMatchRegex(/Keep-Alive: timeout=15/);
    relay.server.setLimits({ headerTimeoutMs: 3_000, idleTimeoutMs: 2_000 });
    response.end();
    await connection.receive(/\r\n0\r\n\r\n$/);
    expect((await vmSocket).timeout).toEqual(16_000);
});

test("a pipelined call whose response is cut before its turn does not leave its connection open without an answer", async () => {
    const { upstream, relay, connection } = await start({ kind: "stream", maxAttempts: 1 });
    connection.socket.write(formatCall());
    const first = await upstream.nextCall();
    connection.socket.write(formatCall().replace("r-1", "r-2"));
    const second = await upstream.nextCall();
    second.response.writeHead(200, { "call-id": "r-2", "content-type": "text/event-stream" }).write("id: 4\ndata: a\n\n");
    await settle();
    second.request.socket.destroy();
    while (relay.summaries.length === 0) {
        await settle();
    }
    first.response.writeHead(200, { "call-id": "r-1" }).end("whole");
    expect(await connection.receiveAll()).toMatchRegex(/whole$/);
});
