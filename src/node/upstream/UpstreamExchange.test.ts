import { expect } from "earl";
import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import type { ThrownUpstreamError } from "./ThrownUpstreamError.js";
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
