import { expect } from "earl";
import { createServer, type IncomingMessage, request as httpRequest, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { after, test } from "node:test";
import type { RelayRoute } from "../../schema/relay/RelayRoute.js";
import { callRelay as call } from "./testing/callRelay.js";
import { startTestRelay } from "./testing/startTestRelay.js";

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

const controller = new AbortController();
after(() => {
    controller.abort();
});

async function listen(handler: Handler): Promise<string> {
    const server: Server = createServer(handler);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    controller.signal.addEventListener("abort", () => {
        server.close();
        server.closeAllConnections();
    });
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Starts a relay in front of one upstream for each of `handlers`; they are chosen in that order. */
async function startRelay(route: Partial<RelayRoute>, handlers: readonly (Handler | "down")[]) {
    const addresses = await Promise.all(handlers.map(handler => handler === "down" ? "127.0.0.1:1" : listen(handler)));
    return startTestRelay(route, addresses, controller.signal);
}

/** Responds after the complete body has arrived. */
function respondWith(status: number, body: string, headers: Record<string, string> = {}): Handler {
    return (request, response) => {
        request.resume().on("end", () => {
            response.writeHead(status, { "call-id": String(request.headers["call-id"]), ...headers });
            response.end(body);
        });
    };
}

const crash: Handler = request => {
    request.resume().on("end", () => request.socket.resetAndDestroy());
};
const eventStreamHeaders = { "content-type": "text/event-stream" };

test("a response is forwarded complete, with its status and headers", async () => {
    let receivedRequest = "";
    const relay = await startRelay({}, [(request, response) => {
        receivedRequest = `${request.method ?? ""} ${request.url ?? ""} ${request.headers.host ?? ""}`;
        respondWith(201, "made", { "x-mark": "1" })(request, response);
    }]);
    const answer = await call(relay.port);
    expect([answer.status, answer.body, answer.headers["x-mark"], receivedRequest]).toEqual([
        201,
        "made",
        "1",
        "POST /a/b?c=d shop.example",
    ]);
    expect([relay.summaries.length, relay.loadTracker.callsInFlight("u0")]).toEqual([1, 0]);
});

test("a repeatable call whose upstream answers with an error is retried on another upstream", async () => {
    const relay = await startRelay({ kind: "repeatable" }, [respondWith(500, "no"), respondWith(200, "yes")]);
    expect((await call(relay.port)).body).toEqual("yes");
    expect(relay.summaries[0]?.attempts).toEqual(2);
});

test("the upstream's own error response is forwarded when every attempt failed", async () => {
    const relay = await startRelay({ kind: "repeatable" }, [respondWith(500, "first"), crash]);
    const answer = await call(relay.port);
    expect([answer.status, answer.body]).toEqual([500, "first"]);
});

test("a call that may run only once is not retried when its upstream crashes, and the caller learns that it may have run", async () => {
    let secondCalls = 0;
    const relay = await startRelay({ kind: "once", maxAttempts: 3 }, [crash, (request, response) => {
        secondCalls++;
        respondWith(200, "twice")(request, response);
    }]);
    const answer = await call(relay.port);
    expect([answer.status, JSON.parse(answer.body).error.outcome, secondCalls]).toEqual([502, "unknown", 0]);
});

test("a refusal by an upstream that did no work is reported as not run, with a retry delay", async () => {
    const relay = await startRelay({ kind: "once", maxAttempts: 1 }, [respondWith(503, "", { "not-run": "1", "retry-after": "0.4" })]);
    const answer = await call(relay.port);
    expect([answer.status, JSON.parse(answer.body).error.outcome, answer.headers["retry-after"]]).toEqual([503, "not-run", "0.4"]);
});

test("an upstream that cannot be reached costs no attempt, even for a call that may run only once", async () => {
    const relay = await startRelay({ kind: "once", maxAttempts: 1 }, ["down", respondWith(200, "booked")]);
    const answer = await call(relay.port);
    expect([answer.status, answer.body, relay.summaries[0]?.attempts]).toEqual([200, "booked", 1]);
});

test("a response that belongs to another call is not forwarded", async () => {
    const relay = await startRelay({ kind: "once", maxAttempts: 1 }, [(request, response) => {
        request.resume().on("end", () => {
            response.writeHead(200, { "call-id": "other" });
            response.end("theirs");
        });
    }]);
    expect((await call(relay.port)).status).toEqual(502);
});

test("a stream that breaks off inside an event is resumed on another upstream, and each event is delivered once", async () => {
    let resumedAfter: unknown;
    const relay = await startRelay({ kind: "stream", isResumable: true }, [
        (request, response) => {
            request.resume().on("end", () => {
                response.writeHead(200, { "call-id": "r-1", ...eventStreamHeaders });
                response.write("id: 4\ndata: a\n\nid: 8\nda", () => setTimeout(() => request.socket.resetAndDestroy(), 20));
            });
        },
        (request, response) => {
            resumedAfter = request.headers["last-event-id"];
            respondWith(200, "id: 8\ndata: b\n\nid: 12\ndata: c\n\n", eventStreamHeaders)(request, response);
        },
    ]);
    const answer = await call(relay.port);
    expect([answer.body, answer.isComplete, resumedAfter]).toEqual(["id: 4\ndata: a\n\nid: 8\ndata: b\n\nid: 12\ndata: c\n\n", true, "4"]);
});

test("a stream that breaks off and cannot be resumed leaves the caller's response incomplete", async () => {
    const relay = await startRelay({ kind: "stream", isResumable: false, maxAttempts: 1 }, [(request, response) => {
        request.resume().on("end", () => {
            response.writeHead(200, { "call-id": "r-1", ...eventStreamHeaders });
            response.write("id: 4\ndata: a\n\n", () => setTimeout(() => request.socket.resetAndDestroy(), 20));
        });
    }]);
    const answer = await call(relay.port);
    expect([answer.body, answer.isComplete]).toEqual(["id: 4\ndata: a\n\n", false]);
});

test("a call is answered at its deadline, and the connection to its upstream is closed", async () => {
    const stopped = Promise.withResolvers<string>();
    const relay = await startRelay({ kind: "once", timeoutMs: 60 }, [request => {
        request.socket.on("close", () => {
            stopped.resolve("stopped");
        });
    }]);
    expect((await call(relay.port)).status).toEqual(504);
    expect(await stopped.promise).toEqual("stopped");
});

test("an upstream that is still working on a call at its deadline is not avoided afterwards", async () => {
    const startStream: Handler = (request, response) => {
        request.resume().on("end", () => {
            response.writeHead(200, { "call-id": "r-1", ...eventStreamHeaders });
            response.write("id: 4\ndata: a\n\n");
        });
    };
    const relay = await startRelay({ kind: "stream", maxAttempts: 1, timeoutMs: 60 }, [
        startStream,
        respondWith(200, "id: 4\ndata: b\n\n", eventStreamHeaders),
    ]);
    expect((await call(relay.port)).isComplete).toEqual(false);
    expect((await call(relay.port)).isComplete).toEqual(false);
    expect(relay.summaries.map(summary => summary.upstreamId)).toEqual(["u0", "u0"]);
});

test("the connection to the upstream of a repeatable call is closed when the caller disconnects", async () => {
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

test("a call without a route or an id is refused as not run", async () => {
    const relay = await startRelay({}, [respondWith(200, "fine")]);
    for (const [headers, status] of [[{ host: "nowhere.example" }, 404], [{ "call-id": "" }, 400]] as const) {
        const answer = await call(relay.port, headers);
        expect([answer.status, JSON.parse(answer.body).error.outcome]).toEqual([status, "not-run"]);
    }
    expect([relay.summaries.length, relay.refusals]).toEqual([0, ["404 no-route", "400 malformed"]]);
});

test("a server with keep-alive disabled still answers, and a drained one accepts no connection", async () => {
    const relay = await startRelay({}, [respondWith(200, "fine")]);
    relay.server.disableKeepAlive(Infinity);
    const leaving = await call(relay.port);
    expect([leaving.status, leaving.headers.connection]).toEqual([200, "close"]);
    await relay.server.drain();
    expect(relay.server.activeCalls).toEqual(0);
    expect(await call(relay.port).then(() => "answered", () => "refused")).toEqual("refused");
});

test("a call whose handler throws is answered as possibly run instead of ending without an answer", async () => {
    const relay = await startRelay({ kind: "once" }, [respondWith(200, "fine")]);
    relay.loadTracker.callsInFlight = () => {
        throw new Error("fault of the test");
    };
    const answer = await call(relay.port);
    expect([answer.status, JSON.parse(answer.body).error.outcome, answer.headers.connection]).toEqual([502, "unknown", "close"]);
});
