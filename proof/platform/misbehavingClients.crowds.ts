import { expect } from "earl";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { StoreStandin } from "../../standins/store/StoreStandin.js";
import { Crowd } from "./Crowd.js";
import { platformConfig } from "./platformConfig.js";
import { ProcessUse } from "./ProcessUse.js";
import { startPlatformVm } from "./startPlatformVm.js";
import { writePieces } from "./writePieces.js";

/** Between the smallest and the largest VM of the platform (210 and 602 MB); the process runs with the loader of the tests besides. */
const memoryMb = 300;
const maxDescriptors = 500;
/** Descriptors that the platform reserves for files. */
const reservedDescriptors = 200;
const bodyBytes = 4_194_304;
const sendMs = 3_000;
const settleMs = 700;
const answerBytes = 400_000;
const head = (fields: string, path = "/book/1", key = "key-1") =>
    `POST ${path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a\r\nX-Api-Key: ${key}\r\nX-Deadline-Ms: 60000\r\n${fields}\r\n`;
const allButLast = Buffer.alloc(bodyBytes - 1, "a");
const lengthField = `Content-Length: ${bodyBytes}\r\n`;
const chunk = Buffer.from(`4000\r\n${"a".repeat(0x4000)}\r\n`);

async function write(socket: Socket, ...parts: readonly (string | Buffer)[]): Promise<void> {
    for (const part of parts) {
        await new Promise<void>(resolve =>
            socket.write(part, () => {
                resolve();
            })
        );
    }
}

/** Starts a VM with one upstream, which answers the path /book/large with a large body and other paths with a short one. */
async function start(signal: AbortSignal) {
    const upstream = createServer((incoming, outgoing) => {
        let receivedBytes = 0;
        incoming.on("data", (bytes: Buffer) => {
            receivedBytes += bytes.length;
        }).on("end", () => {
            outgoing.writeHead(200, { "x-attempt-id": String(incoming.headers["x-attempt-id"]), "x-server-seal": "seal" });
            outgoing.end(incoming.url === "/book/large" ? Buffer.alloc(answerBytes) : String(receivedBytes));
        });
    }).listen(0, "127.0.0.1");
    await once(upstream, "listening");
    signal.addEventListener("abort", () => {
        upstream.close();
        upstream.closeAllConnections();
    }, { once: true });
    const store = new StoreStandin();
    const storeUrl = await store.server.start(signal);
    const address = `127.0.0.1:${(upstream.address() as AddressInfo).port}`;
    store.put("keyed.op", "config", JSON.stringify(platformConfig));
    store.put("keyed.servers", "i-1", JSON.stringify({ service: "jobs", address, zone: "z1", slots: 100, state: "ready", sequence: 1 }));
    const vm = await startPlatformVm("front-1", storeUrl, signal, [], {
        "limits.memory_mb": String(memoryMb),
        "limits.max_fds": String(maxDescriptors),
    });
    await vm.log.waitForLine(line => line["message"] === "ready");
    return vm;
}

/** Sends an ordinary call until it is served, as a caller does that was refused; rejects when all tries have failed. */
async function sendUntilServed(url: string, options: Parameters<typeof request>[1] = {}): Promise<string> {
    let last: unknown;
    for (let tries = 0; tries < 20; tries++) {
        try {
            const reply = await request(url, { ...options, reset: true });
            const text = await reply.body.text();
            if (reply.statusCode === 200) {
                return text;
            }
            last = `${reply.statusCode} ${text}`;
        }
        catch (error) {
            last = error;
        }
        await sleep(250);
    }
    throw new Error(`not served: ${String(last)}`);
}

const callOptions = (body: Buffer | string) => ({
    method: "POST" as const,
    headers: { host: "h.example", "x-attempt-id": "ordinary", "x-api-key": "key-1", "x-deadline-ms": "3000" },
    body,
});

interface Load {
    /** The fault that is guarded against. */
    readonly name: string;
    readonly port?: "front" | "ready" | "metrics" | "control";
    readonly connections: number;
    readonly write: (socket: Socket, index: number) => Promise<void>;
}

const smallChunks = Buffer.from("1\r\na\r\n".repeat(1_000));
const shortFields = [...Array(2_600).keys()].map(index => `${index.toString(36)}:\r\n`).join("");
const wsFrame = Buffer.concat([Buffer.from([0x82, 0xff, 0, 0, 0, 0, 0, 0x40, 0, 0, 1, 2, 3, 4]), Buffer.alloc(4_194_303)]);
const upgrade = "GET / HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n"
    + "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";

const loads: readonly Load[] = [
    {
        name: "bodies that stop one byte short, in one piece",
        connections: 80,
        write: socket => write(socket, head(lengthField), allButLast),
    },
    {
        name: "bodies that stop one byte short, in small pieces",
        connections: 80,
        write: async socket => {
            await write(socket, head(lengthField));
            await writePieces(socket, allButLast, 8_192);
        },
    },
    {
        name: "chunked bodies that stop short of the limit",
        connections: 80,
        write: socket => write(socket, head("Transfer-Encoding: chunked\r\n"), Buffer.concat(Array.from({ length: 250 }, () => chunk))),
    },
    {
        name: "chunked bodies of one-byte chunks",
        connections: 80,
        write: socket =>
            write(socket, head("Transfer-Encoding: chunked\r\n"), Buffer.concat(Array.from({ length: 60 }, () => smallChunks))),
    },
    {
        name: "bodies without a route that stop one byte short",
        connections: 80,
        write: socket => write(socket, head(lengthField, "/none"), allButLast),
    },
    {
        name: "bodies without a key that stop one byte short",
        connections: 80,
        write: socket => write(socket, head(lengthField, "/book/1", "unknown"), allButLast),
    },
    {
        name: "bodies far over the limit",
        connections: 60,
        write: (socket, index) =>
            index % 2 === 0
                ? write(socket, head("Content-Length: 1000000000\r\n"), ...Array.from({ length: 6 }, () => allButLast))
                : write(socket, head("Transfer-Encoding: chunked\r\n"), ...Array.from({ length: 1_500 }, () => chunk)),
    },
    {
        name: "heads of very many short fields",
        connections: 290,
        write: socket => write(socket, head(`${shortFields}Content-Length: 2\r\n`), "a"),
    },
    {
        name: "requests sent ahead without reading",
        connections: 120,
        write: (socket, index) => write(socket, head("Content-Length: 0\r\n", index % 2 === 0 ? "/none" : "/book/1").repeat(3_000)),
    },
    {
        name: "large responses that are not read",
        connections: 60,
        write: socket => write(socket, head("Content-Length: 0\r\n", "/book/large").repeat(40)),
    },
    {
        name: "very many connections that send slowly or not at all",
        connections: 600,
        write: async (socket, index) => {
            if (index % 3 !== 0) {
                await write(socket, index % 3 === 1 ? "POST /book/1 HT" : head(lengthField));
                await writePieces(socket, Buffer.alloc(20), 1);
            }
        },
    },
    ...(["ready", "metrics"] as const).flatMap(port => [
        {
            name: `requests sent ahead without reading at the ${port} port`,
            port,
            connections: 100,
            write: (socket: Socket) =>
                write(socket, `GET ${port === "ready" ? "/v1/ready" : "/metrics"} HTTP/1.1\r\nHost: h\r\n\r\n`.repeat(500)),
        },
        {
            name: `bodies and very many connections at the ${port} port`,
            port,
            connections: 600,
            write: (socket: Socket) => write(socket, head(lengthField, "/v1/ready"), allButLast.subarray(0, 200_000)),
        },
    ]),
    {
        name: "bodies and very many connections at the peer port",
        port: "control",
        connections: 600,
        write: socket => write(socket, head(lengthField, "/"), allButLast.subarray(0, 200_000)),
    },
    {
        name: "large frames before the handshake at the peer port",
        port: "control",
        connections: 100,
        write: socket => write(socket, upgrade, wsFrame),
    },
];

for (const { name, port = "front", connections, write: writeLoad } of loads) {
    test(`a VM stays within its memory and descriptors, and serves an ordinary call, during ${name}`, async () => {
        const controller = new AbortController();
        const { child, ports, exited } = await start(controller.signal);
        const use = new ProcessUse(child.pid as number);
        const crowd = new Crowd(ports[port]);
        try {
            use.sample();
            const restMb = use.peakMb;
            await crowd.send(connections, writeLoad, sendMs);
            await sleep(settleMs);
            const front = `http://127.0.0.1:${ports.front}/book/1`;
            const served = await Promise.allSettled([
                sendUntilServed(front, callOptions("please")),
                sendUntilServed(`http://127.0.0.1:${ports.ready}/v1/ready`),
            ]);
            use.stop();
            process.stdout.write(`# ${name}: at rest ${restMb} MB, peak ${use.peakMb} MB, ${use.peakSockets} sockets\n`);
            expect([typeof child.exitCode, child.signalCode ?? "running"]).toEqual(["object", "running"]);
            expect(served.map(result => result.status === "fulfilled" ? result.value : String(result.reason))).toEqual(["6", "ready\n"]);
            expect(use.peakMb).toBeLessThan(memoryMb);
            expect(use.peakSockets).toBeLessThan(maxDescriptors - reservedDescriptors);
        }
        finally {
            use.stop();
            crowd.leave();
            controller.abort();
            await exited;
        }
    });
}

test("a single request with a body of exactly the limit is served in calm", async () => {
    const controller = new AbortController();
    const { ports, exited } = await start(controller.signal);
    try {
        const reply = await request(`http://127.0.0.1:${ports.front}/book/1`, callOptions(Buffer.alloc(bodyBytes)));
        expect([reply.statusCode, await reply.body.text()]).toEqual([200, String(bodyBytes)]);
    }
    finally {
        controller.abort();
        await exited;
    }
});
