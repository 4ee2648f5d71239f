import { expect } from "earl";
import { err, ok } from "neverthrow";
import { createServer, type IncomingMessage, request as httpRequest, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { after, test } from "node:test";
import { PlainPlacer } from "../../core/relay/PlainPlacer.js";
import { RouteTable } from "../../core/relay/RouteTable.js";
import { exampleConfig } from "../../core/relay/testing/exampleConfig.js";
import { exampleRoute } from "../../core/relay/testing/exampleRoute.js";
import { exampleUpstream } from "../../core/relay/testing/exampleUpstream.js";
import { UpstreamDirectory } from "../../core/relay/UpstreamDirectory.js";
import { UpstreamHealth } from "../../core/relay/UpstreamHealth.js";
import { UpstreamLoadTracker } from "../../core/relay/UpstreamLoadTracker.js";
import { RetryBudget } from "../../core/retry/RetryBudget.js";
import type { RelayRoute } from "../../schema/relay/RelayRoute.js";
import type { RequestSummary } from "../services/RequestSummary.js";
import { SystemScheduler } from "../timers/SystemScheduler.js";
import { UpstreamConnections } from "../upstream/UpstreamConnections.js";
import type { RelayDialect } from "./RelayDialect.js";
import { RelayServer } from "./RelayServer.js";

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

interface Answer {
    readonly status: number;
    readonly headers: IncomingMessage["headers"];
    readonly body: string;
    readonly isComplete: boolean;
}

const controller = new AbortController();
after(() => {
    controller.abort();
});

/** Header names of no platform in particular. */
const dialect: RelayDialect = {
    decodeCall: ({ headers, url = "/", method = "GET" }) => {
        const requestId = headers["call-id"];
        return typeof requestId === "string" && requestId !== ""
            ? ok({
                requestId,
                method,
                host: headers.host ?? "",
                path: url.split("?")[0] ?? "",
                target: url,
                key: "key-1",
                patienceMs: Number(headers["patience"] ?? 5_000),
                lastEventId: undefined,
                prompt: undefined,
            })
            : err("call-id is missing");
    },
    buildUpstreamHeaders: (call, received, facts) => ({
        host: received.host ?? "",
        "call-id": call.requestId,
        ...(facts.lastEventId === undefined ? {} : { "last-event-id": facts.lastEventId }),
    }),
    buildRetryAfterHeaders: delayMs => ({ "retry-after": String(delayMs / 1_000) }),
    classifyResponse: (status, headers, call) =>
        headers["not-run"] !== undefined && status >= 400 ? "not-run" : headers["call-id"] === call.requestId ? "answer" : "foreign",
};

async function listen(handler: Handler): Promise<string> {
    const server: Server = createServer(handler);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    controller.signal.addEventListener("abort", () => {
        server.close();
        server.closeAllConnections();
    });
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** A server before upstreams that answer by `handlers`, the first of which is chosen first. */
async function startRelay(route: Partial<RelayRoute>, handlers: readonly (Handler | "down")[]) {
    const directory = new UpstreamDirectory();
    const board = new UpstreamLoadTracker();
    const ends: RequestSummary[] = [];
    for (const [index, handler] of handlers.entries()) {
        directory.set(
            exampleUpstream(`u${index}`, { address: handler === "down" ? "127.0.0.1:1" : await listen(handler), slots: 6 - index }),
        );
    }
    const scheduler = new SystemScheduler();
    const connections = new UpstreamConnections();
    controller.signal.addEventListener("abort", () => void connections.close());
    const placer = new PlainPlacer(board, "z1", () => 0.5);
    const probe = createServer();
    await new Promise<void>(resolve => probe.listen(0, "127.0.0.1", resolve));
    const { port } = probe.address() as AddressInfo;
    await new Promise(resolve => probe.close(resolve));
    const table = new RouteTable(exampleConfig({ routes: [exampleRoute(route)] }));
    const server = new RelayServer({
        host: "127.0.0.1",
        port,
        dialect,
        scheduler,
        directory,
        loadTracker: board,
        health: new UpstreamHealth(),
        connections,
        observer: { requestEnded: end => ends.push(end) },
        routeTable: () => table,
        retryBudget: () => new RetryBudget(scheduler, { retriesPerRequest: 1, minRetriesPerSecond: 0, maxSavedRetries: 10 }),
        place: request => placer.place(request),
    });
    (await server.start(controller.signal))._unsafeUnwrap();
    return { port, server, ends, board };
}

function call(port: number, headers: Record<string, string> = {}, body = "hello"): Promise<Answer> {
    return new Promise((resolve, reject) => {
        const request = httpRequest(
            {
                host: "127.0.0.1",
                port,
                path: "/a/b?c=d",
                method: "POST",
                agent: false,
                headers: { host: "shop.example", "call-id": "r-1", ...headers },
            },
            response => {
                const parts: Buffer[] = [];
                response.on("data", (part: Buffer) => parts.push(part));
                response.on("error", () => undefined);
                response.on("close", () => {
                    resolve({
                        status: response.statusCode ?? 0,
                        headers: response.headers,
                        body: Buffer.concat(parts).toString(),
                        isComplete: response.complete,
                    });
                });
            },
        );
        request.on("error", reject);
        request.end(body);
    });
}

/** Answers after the whole body has come. */
function answering(status: number, body: string, headers: Record<string, string> = {}): Handler {
    return (request, response) => {
        request.resume().on("end", () => {
            response.writeHead(status, { "call-id": String(request.headers["call-id"]), ...headers });
            response.end(body);
        });
    };
}

const crashing: Handler = request => {
    request.resume().on("end", () => request.socket.resetAndDestroy());
};
const events = { "content-type": "text/event-stream" };

test("an answer is passed on whole, with its status and headers", async () => {
    let seen = "";
    const relay = await startRelay({}, [(request, response) => {
        seen = `${request.method ?? ""} ${request.url ?? ""} ${request.headers.host ?? ""}`;
        answering(201, "made", { "x-mark": "1" })(request, response);
    }]);
    const answer = await call(relay.port);
    expect([answer.status, answer.body, answer.headers["x-mark"], seen]).toEqual([201, "made", "1", "POST /a/b?c=d shop.example"]);
    expect([relay.ends.length, relay.board.callsInFlight("u0")]).toEqual([1, 0]);
});

test("a repeatable call that failed is tried at another upstream", async () => {
    const relay = await startRelay({ kind: "repeatable" }, [answering(500, "no"), answering(200, "yes")]);
    expect((await call(relay.port)).body).toEqual("yes");
    expect(relay.ends[0]?.attempts).toEqual(2);
});

test("the upstream's own failure is passed on when every attempt failed", async () => {
    const relay = await startRelay({ kind: "repeatable" }, [answering(500, "first"), crashing]);
    const answer = await call(relay.port);
    expect([answer.status, answer.body]).toEqual([500, "first"]);
});

test("a call that may run once is sent once, and its caller is told that it may have run", async () => {
    let second = 0;
    const relay = await startRelay({ kind: "once", maxAttempts: 3 }, [crashing, (request, response) => {
        second++;
        answering(200, "twice")(request, response);
    }]);
    const answer = await call(relay.port);
    expect([answer.status, JSON.parse(answer.body).error.outcome, second]).toEqual([502, "unknown", 0]);
});

test("a refusal of the upstream that did nothing is told as not run, with a time to come back", async () => {
    const relay = await startRelay({ kind: "once", maxAttempts: 1 }, [answering(503, "", { "not-run": "1", "retry-after": "0.4" })]);
    const answer = await call(relay.port);
    expect([answer.status, JSON.parse(answer.body).error.outcome, answer.headers["retry-after"]]).toEqual([503, "not-run", "0.4"]);
});

test("an upstream that cannot be reached costs no attempt, whatever the kind", async () => {
    const relay = await startRelay({ kind: "once", maxAttempts: 1 }, ["down", answering(200, "booked")]);
    const answer = await call(relay.port);
    expect([answer.status, answer.body, relay.ends[0]?.attempts]).toEqual([200, "booked", 1]);
});

test("an answer to another call is not passed on", async () => {
    const relay = await startRelay({ kind: "once", maxAttempts: 1 }, [(request, response) => {
        request.resume().on("end", () => {
            response.writeHead(200, { "call-id": "other" });
            response.end("theirs");
        });
    }]);
    expect((await call(relay.port)).status).toEqual(502);
});

test("a stream that breaks off inside an event is continued with each event once", async () => {
    let resumedAfter: unknown;
    const relay = await startRelay({ kind: "stream", isResumable: true }, [
        (request, response) => {
            request.resume().on("end", () => {
                response.writeHead(200, { "call-id": "r-1", ...events });
                response.write("id: 4\ndata: a\n\nid: 8\nda", () => setTimeout(() => request.socket.resetAndDestroy(), 20));
            });
        },
        (request, response) => {
            resumedAfter = request.headers["last-event-id"];
            answering(200, "id: 8\ndata: b\n\nid: 12\ndata: c\n\n", events)(request, response);
        },
    ]);
    const answer = await call(relay.port);
    expect([answer.body, answer.isComplete, resumedAfter]).toEqual(["id: 4\ndata: a\n\nid: 8\ndata: b\n\nid: 12\ndata: c\n\n", true, "4"]);
});

test("a stream that cannot be continued does not look complete", async () => {
    const relay = await startRelay({ kind: "stream", isResumable: false, maxAttempts: 1 }, [(request, response) => {
        request.resume().on("end", () => {
            response.writeHead(200, { "call-id": "r-1", ...events });
            response.write("id: 4\ndata: a\n\n", () => setTimeout(() => request.socket.resetAndDestroy(), 20));
        });
    }]);
    const answer = await call(relay.port);
    expect([answer.body, answer.isComplete]).toEqual(["id: 4\ndata: a\n\n", false]);
});

test("a call is answered at its time limit, and its upstream told to stop", async () => {
    const stopped = Promise.withResolvers<string>();
    const relay = await startRelay({ kind: "once", timeoutMs: 60 }, [request => {
        request.socket.on("close", () => {
            stopped.resolve("stopped");
        });
    }]);
    expect((await call(relay.port)).status).toEqual(504);
    expect(await stopped.promise).toEqual("stopped");
});

test("an upstream still at work at the time limit of a call is not avoided for it", async () => {
    const working: Handler = (request, response) => {
        request.resume().on("end", () => {
            response.writeHead(200, { "call-id": "r-1", ...events });
            response.write("id: 4\ndata: a\n\n");
        });
    };
    const relay = await startRelay({ kind: "stream", maxAttempts: 1, timeoutMs: 60 }, [
        working,
        answering(200, "id: 4\ndata: b\n\n", events),
    ]);
    expect((await call(relay.port)).isComplete).toEqual(false);
    expect((await call(relay.port)).isComplete).toEqual(false);
    expect(relay.ends.map(end => end.upstreamId)).toEqual(["u0", "u0"]);
});

test("an upstream stops working on a repeatable call whose caller has gone", async () => {
    const stopped = Promise.withResolvers<string>();
    const arrived = Promise.withResolvers<void>();
    const relay = await startRelay({ kind: "repeatable" }, [request => {
        arrived.resolve();
        request.socket.on("close", () => {
            stopped.resolve("stopped");
        });
    }]);
    const request = httpRequest({
        host: "127.0.0.1",
        port: relay.port,
        path: "/a/b",
        method: "POST",
        agent: false,
        headers: { host: "shop.example", "call-id": "r" },
    });
    request.on("error", () => undefined);
    request.end();
    await arrived.promise;
    request.destroy();
    expect(await stopped.promise).toEqual("stopped");
});

test("a call without a route or an id is told as not run", async () => {
    const relay = await startRelay({}, [answering(200, "fine")]);
    for (const [headers, status] of [[{ host: "nowhere.example" }, 404], [{ "call-id": "" }, 400]] as const) {
        const answer = await call(relay.port, headers);
        expect([answer.status, JSON.parse(answer.body).error.outcome]).toEqual([status, "not-run"]);
    }
    expect(relay.ends.length).toEqual(0);
});

test("a VM that leaves still answers, and one that is closed takes no connection and resolves its drain", async () => {
    const relay = await startRelay({}, [answering(200, "fine")]);
    relay.server.disableKeepAlive();
    const leaving = await call(relay.port);
    expect([leaving.status, leaving.headers.connection]).toEqual([200, "close"]);
    await relay.server.drain();
    expect(relay.server.activeCalls).toEqual(0);
    expect(await call(relay.port).then(() => "answered", () => "refused")).toEqual("refused");
});
