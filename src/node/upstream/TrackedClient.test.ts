import { expect } from "earl";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { after, test } from "node:test";
import type { ThrownUpstreamError } from "./ThrownUpstreamError.js";
import { TrackedClient } from "./TrackedClient.js";
import type { TrackedDispatchOptions } from "./TrackedDispatchOptions.js";
import { UpstreamExchange } from "./UpstreamExchange.js";

const controller = new AbortController();
after(() => {
    controller.abort();
});

/** More than the socket buffers of the system hold, so that a part of it has not been sent when the upstream closes the connection. */
const largeBody = Buffer.alloc(32 * 1024 * 1024);
const wholeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
const responseWithoutLength = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello";

/** Starts an upstream that passes its nth connection to the nth function, and resolves with a client for it. */
async function startClient(onConnection: readonly ((socket: Socket) => void)[]): Promise<TrackedClient> {
    let connectionCount = 0;
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        onConnection[connectionCount++]?.(socket);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const client = new TrackedClient(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, {
        connectTimeoutMs: 1_000,
        keepAliveMs: 4_000,
    });
    controller.signal.addEventListener("abort", () => {
        server.close();
        void client.destroy();
    });
    return client;
}

/** Answers every request of a connection with `response`, or with one that ends with the connection. */
function answer(response: string, isLast = false) {
    return (socket: Socket) => {
        socket.on("data", () => {
            socket.write(response);
            if (isLast) {
                socket.end();
            }
        });
    };
}

/** Answers the first bytes of a request, then ends its half of the connection and reads no more for a while. */
function answerEarly(response: string, resetAfterMs?: number) {
    return (socket: Socket) => {
        socket.once("data", () => {
            socket.pause();
            socket.end(response);
            setTimeout(() => resetAfterMs === undefined ? socket.resume() : socket.resetAndDestroy(), resetAfterMs ?? 100);
        });
    };
}

/** Sends a request; resolves with "whole" for a complete response or the kind of the failure, and with what is known of its connection. */
async function send(client: TrackedClient, body: Buffer | string = "") {
    const end = Promise.withResolvers<string>();
    let isFirstOnConnection: boolean | undefined;
    const exchange = new UpstreamExchange(head => {
        isFirstOnConnection = head.isFirstOnConnection;
        return {
            onData: () => undefined,
            onEnd: () => {
                end.resolve("whole");
            },
            onError: failure => {
                end.resolve(failure.kind);
            },
        };
    });
    exchange.responseHead.catch((failure: ThrownUpstreamError) => {
        end.resolve(failure.kind);
    });
    const onDispatch: TrackedDispatchOptions["onDispatch"] = getConnection => {
        exchange.getConnection = getConnection;
    };
    const options: TrackedDispatchOptions = { path: "/", method: "POST", body, onDispatch };
    client.dispatch(options, exchange);
    return { end: await end.promise, isFirstOnConnection };
}

/** `ends` are the allowed results of the upload; with a reset, it depends on whether the response is read before. */
const earlyEnds: readonly { name: string; response: string; resetAfterMs?: number; ends?: readonly string[]; }[] = [
    { name: "503", response: "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n\r\n" },
    { name: "400 with a body", response: "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\nno" },
    { name: "503 with a length of 0", response: "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n" },
    {
        name: "503 and a reset",
        response: "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n\r\n",
        resetAfterMs: 30,
        ends: ["whole", "broken"],
    },
    { name: "200 that may be truncated", response: responseWithoutLength, ends: ["broken"] },
];
for (const { name, response, resetAfterMs, ends = ["whole"] } of earlyEnds) {
    // Guards against whole responses that failed because an earlier connection of their client had ended during an upload.
    test(`a response during an upload (${name}) does not affect the next connection of its client`, async () => {
        const client = await startClient([
            answerEarly(response, resetAfterMs),
            answer(wholeResponse),
        ]);
        expect(ends).toInclude((await send(client, largeBody)).end);
        expect(await send(client)).toEqual({ end: "whole", isFirstOnConnection: true });
        expect(await send(client)).toEqual({ end: "whole", isFirstOnConnection: false });
    });
}

test("a response without a length is whole on the connection after one that ended during an upload", async () => {
    const client = await startClient([answerEarly(responseWithoutLength), answer(responseWithoutLength, true)]);
    expect((await send(client, largeBody)).end).toEqual("broken");
    expect((await send(client)).end).toEqual("whole");
});

test("a request that waits while a connection fails runs on the next one, and each has the state of its own", async () => {
    const client = await startClient([answerEarly(responseWithoutLength), answer(wholeResponse)]);
    const [first, second] = await Promise.all([send(client, largeBody), send(client)]);
    expect(first).toEqual({ end: "broken", isFirstOnConnection: true });
    expect(second).toEqual({ end: "whole", isFirstOnConnection: true });
});

// Guards against truncated responses that pass as whole because an exchange has the state of an earlier connection.
test("an end during an upload is detected on later connections of a client, too", async () => {
    const client = await startClient([answer(responseWithoutLength, true), answerEarly(responseWithoutLength)]);
    expect((await send(client)).end).toEqual("whole");
    expect((await send(client, largeBody)).end).toEqual("broken");
});
