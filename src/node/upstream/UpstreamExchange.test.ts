import { expect } from "earl";
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { ThrownUpstreamError } from "./ThrownUpstreamError.js";
import { UpstreamConnections } from "./UpstreamConnections.js";
import { UpstreamExchange } from "./UpstreamExchange.js";

/** Sends one request to a server that responds through `respond`; resolves with "whole" for a complete body or the kind of the failure. */
async function runExchange(respond: (socket: Socket) => void): Promise<string> {
    const server: Server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => {
            respond(socket);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const connections = new UpstreamConnections();
    const end = new Promise<string>(resolve => {
        const exchange = new UpstreamExchange(() => ({
            onData: () => undefined,
            onEnd: () => {
                resolve("whole");
            },
            onError: (failure: ThrownUpstreamError) => {
                resolve(failure.kind);
            },
        }));
        const { port } = server.address() as AddressInfo;
        connections.dispatch({ origin: `http://127.0.0.1:${port}`, path: "/", method: "GET" }, exchange);
    });
    const result = await end;
    await connections.close();
    server.close();
    return result;
}

test("a response without a length is complete when its connection ends", async () => {
    const end = await runExchange(socket => {
        socket.end("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello");
    });
    expect(end).toEqual("whole");
});

test("a response without a length fails when its connection is reset, although undici reports it as complete", async () => {
    const end = await runExchange(socket => {
        socket.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhel", () => {
            setTimeout(() => socket.resetAndDestroy(), 20);
        });
    });
    expect(end).toEqual("broken");
});

test("a chunked response fails when its connection ends before the last chunk", async () => {
    const end = await runExchange(socket => {
        socket.end("HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n");
    });
    expect(end).toEqual("broken");
});

/** More than the socket buffers of the system hold, so that they are full when the request is given up. */
const heldBody = Buffer.alloc(32 * 1024 * 1024);

/** Starts a server that stops reading after the first bytes of a request, gives the request up, and resolves with the bytes that arrive in all. */
async function giveUpWhileHeld(send: (port: number) => () => void): Promise<number> {
    const held = Promise.withResolvers<Socket>();
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => {
            socket.pause();
            held.resolve(socket);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const giveUp = send((server.address() as AddressInfo).port);
    const socket = await held.promise;
    giveUp();
    socket.resume();
    await new Promise(resolve => socket.once("close", resolve));
    server.close();
    return socket.bytesRead;
}

// Guards against requests that reach an upstream seconds after they were given up, because a network partition held them up.
for (const kind of ["cancelled", "broken"] as const) {
    test(`what is left to be sent of a ${kind} request does not reach its upstream, as it would after an orderly close`, async () => {
        const closedBytes = await giveUpWhileHeld(port => {
            const socket = connect(port, "127.0.0.1");
            socket.write(heldBody);
            return () => socket.destroy();
        });
        const connections = new UpstreamConnections();
        const abortedBytes = await giveUpWhileHeld(port => {
            const exchange = new UpstreamExchange(() => ({ onData: () => undefined, onEnd: () => undefined, onError: () => undefined }));
            connections.dispatch({ origin: `http://127.0.0.1:${port}`, path: "/", method: "POST", body: heldBody }, exchange);
            return () => {
                exchange.abort(new ThrownUpstreamError(kind, undefined, "test"));
            };
        });
        await connections.close();
        expect(abortedBytes < closedBytes / 2).toEqual(true);
    });
}
