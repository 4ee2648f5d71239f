import { expect } from "earl";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { afterEach, test } from "node:test";
import { WebSocket } from "ws";
import { until } from "../../../proof/fakes/until.js";
import { SwallowingProxy } from "../../../standins/proxy/SwallowingProxy.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import { VirtualScheduler } from "../../core/util/VirtualScheduler.js";
import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import { SystemScheduler } from "../timers/SystemScheduler.js";
import { defaultPeerLinkLimits } from "./defaultPeerLinkLimits.js";
import type { PeerLinkLimits } from "./PeerLinkLimits.js";
import { WebSocketPeerLinks } from "./WebSocketPeerLinks.js";

const limits = { ...defaultPeerLinkLimits, pingAfterMs: 30, silentAfterMs: 120, redialAfterMs: 40, maxFrameBytes: 64 * 1024 };
let stopController = new AbortController();

afterEach(() => {
    stopController.abort();
    stopController = new AbortController();
});

interface StartedLinks {
    readonly links: WebSocketPeerLinks;
    readonly port: number;
}

async function startLinks(
    vm: string,
    sharedKey = "shared",
    incarnation = "1",
    options: { readonly scheduler?: Scheduler; readonly limits?: PeerLinkLimits; } = {},
): Promise<StartedLinks> {
    const links = new WebSocketPeerLinks({
        self: { vm, incarnation },
        listenHost: "127.0.0.1",
        listenPort: 0,
        sharedKey,
        scheduler: new SystemScheduler(),
        limits,
        ...options,
    });
    const port = (await links.start(stopController.signal))._unsafeUnwrap();
    return { links, port };
}

function buildUrl(port: number): string {
    return `ws://127.0.0.1:${port}/peer`;
}

function createQuery(queriedRequestId: string): PeerMessage {
    return { type: "explainQuery", query: { type: "request", requestId: queriedRequestId } };
}

function createAnswer(...reasonTexts: string[]): PeerMessage {
    const reasons = reasonTexts.map(reason => ({ reason, count: 1, exampleRequestIds: [] }));
    return { type: "explainAnswer", part: { events: [], reasons, configOffset: 0, configSinceAtMs: 0 } };
}

function listReasons(answer: Extract<PeerMessage, { type: "explainAnswer"; }>): string[] {
    return answer.part.reasons.map(({ reason }) => reason);
}

/** Answers each explain query with the sender and the request id, which shows that the query arrived unchanged. */
function answerWithRequestId(links: WebSocketPeerLinks): void {
    links.onMessage(
        "explainQuery",
        (from, { query }) => createAnswer(from, query.type === "request" ? query.requestId : query.type),
        stopController.signal,
    );
}

async function requestExplanation(links: WebSocketPeerLinks, vm: string, requestId: string): Promise<unknown> {
    const answer = await links.request(vm, createQuery(requestId), 2000, stopController.signal);
    return answer.isOk() && answer.value.type === "explainAnswer" ? listReasons(answer.value) : answer;
}

test("requests and replies pass in both directions over one link that only one end dialed", { timeout: 10_000 }, async () => {
    const [left, right] = [await startLinks("vm-1"), await startLinks("vm-2")];
    answerWithRequestId(left.links);
    answerWithRequestId(right.links);
    left.links.setAddress("vm-2", buildUrl(right.port));
    expect(await requestExplanation(left.links, "vm-2", "a")).toEqual(["vm-1", "a"]);
    expect(await requestExplanation(right.links, "vm-1", "b")).toEqual(["vm-2", "b"]);
});

test("both ends use the same connection after dialing each other at the same time", { timeout: 10_000 }, async () => {
    const [left, right] = [await startLinks("vm-1"), await startLinks("vm-2")];
    answerWithRequestId(left.links);
    answerWithRequestId(right.links);
    left.links.setAddress("vm-2", buildUrl(right.port));
    right.links.setAddress("vm-1", buildUrl(left.port));
    const answers = await Promise.all([requestExplanation(left.links, "vm-2", "a"), requestExplanation(right.links, "vm-1", "b")]);
    expect(answers).toEqual([["vm-1", "a"], ["vm-2", "b"]]);
    expect(await requestExplanation(left.links, "vm-2", "c")).toEqual(["vm-1", "c"]);
});

test("a peer with a different shared key is refused by both ends", { timeout: 10_000 }, async () => {
    const [left, right] = [await startLinks("vm-1"), await startLinks("vm-2", "other")];
    answerWithRequestId(right.links);
    left.links.setAddress("vm-2", buildUrl(right.port));
    const answer = await left.links.request("vm-2", createQuery("a"), 500, stopController.signal);
    expect(answer.isErr()).toEqual(true);
    expect(left.links.hasLink("vm-2")).toEqual(false);
    expect(right.links.hasLink("vm-1")).toEqual(false);
});

test("a client that echoes the hello without the shared key gets no link, and the hello holds no secret", { timeout: 10_000 }, async () => {
    const server = await startLinks("vm-1");
    const socket = new WebSocket(buildUrl(server.port));
    const [hello] = await once(socket, "message");
    const parsedHello = JSON.parse(String(hello)) as Record<string, unknown>;
    expect(Object.keys(parsedHello).sort()).toEqual(["incarnation", "nonce", "protocolVersion", "vm"]);
    socket.send(JSON.stringify({ ...parsedHello, vm: "vm-9", generation: 1, proof: "0".repeat(64) }));
    await once(socket, "close");
    expect(server.links.hasLink("vm-9")).toEqual(false);
});

test("a different protocol version, invalid JSON and an oversized frame each close the connection", { timeout: 10_000 }, async () => {
    const server = await startLinks("vm-1");
    const nonce = "0".repeat(32);
    const badFrames = [
        JSON.stringify({ protocolVersion: 999, vm: "vm-9", incarnation: "1", nonce, generation: 1, proof: "0".repeat(64) }),
        "no json",
        JSON.stringify({ vm: "x".repeat(4000) }),
        "x".repeat(limits.maxFrameBytes + 1),
    ];
    for (const frame of badFrames) {
        const socket = new WebSocket(buildUrl(server.port));
        socket.on("error", () => undefined);
        await once(socket, "message");
        socket.send(frame);
        await once(socket, "close");
    }
    expect(server.links.hasLink("vm-9")).toEqual(false);
});

for (const direction of ["up", "down", "both"] as const) {
    test(`a connection that swallows bytes (${direction}) is replaced while new ones work`, { timeout: 10_000 }, async () => {
        const [left, right] = [await startLinks("vm-1"), await startLinks("vm-2")];
        answerWithRequestId(right.links);
        const proxy = new SwallowingProxy(right.port);
        left.links.setAddress("vm-2", buildUrl(await proxy.start(stopController.signal)));
        expect(await requestExplanation(left.links, "vm-2", "before")).toEqual(["vm-1", "before"]);
        proxy.swallow(direction);
        await until(async () => (await left.links.request("vm-2", createQuery("after"), 200, stopController.signal)).isOk());
        expect(left.links.hasLink("vm-2")).toEqual(true);
    });
}

// Guards against requests that failed with no-link because the old connection closed while its replacement was dialed.
test("a connection that closes does not end the dial of its replacement", { timeout: 10_000 }, async () => {
    const scheduler = new VirtualScheduler();
    const dialLimits = { checkPeriodMs: 100, silentAfterMs: 120, redialAfterMs: 200, closeAfterMs: 250, handshakeTimeoutMs: 1000 };
    const options = { scheduler, limits: { ...limits, ...dialLimits } };
    const [left, right] = [await startLinks("vm-1", "shared", "1", options), await startLinks("vm-2", "shared", "1", options)];
    answerWithRequestId(right.links);
    left.links.setAddress("vm-2", buildUrl(right.port));
    expect(await requestExplanation(left.links, "vm-2", "before")).toEqual(["vm-1", "before"]);
    // The connection is silent after 200 ms, which dials its replacement, and closes after 300 ms.
    scheduler.advance(300);
    expect(left.links.hasLink("vm-2")).toEqual(false);
    expect(await requestExplanation(left.links, "vm-2", "after")).toEqual(["vm-1", "after"]);
});

test("the handshake time-out is measured by the scheduler and not by the wall clock", { timeout: 10_000 }, async () => {
    const options = { scheduler: new VirtualScheduler(), limits: { ...limits, handshakeTimeoutMs: 1 } };
    const [left, right] = [await startLinks("vm-1", "shared", "1", options), await startLinks("vm-2", "shared", "1", options)];
    answerWithRequestId(right.links);
    const proxy = new SwallowingProxy(right.port);
    proxy.delayMs = 20;
    left.links.setAddress("vm-2", buildUrl(await proxy.start(stopController.signal)));
    expect(await requestExplanation(left.links, "vm-2", "a")).toEqual(["vm-1", "a"]);
    const silentServer = createServer().listen(0, "127.0.0.1");
    await once(silentServer, "listening");
    left.links.setAddress("vm-3", buildUrl((silentServer.address() as AddressInfo).port));
    const unanswered = left.links.request("vm-3", createQuery("b"), 60_000, stopController.signal);
    options.scheduler.advance(options.limits.handshakeTimeoutMs);
    expect((await unanswered)._unsafeUnwrapErr().kind).toEqual("no-link");
    silentServer.close();
});

test("a newer incarnation with the same VM id takes over the link", { timeout: 10_000 }, async () => {
    const server = await startLinks("vm-1");
    const old = await startLinks("vm-2", "shared", "1");
    const replacement = await startLinks("vm-2", "shared", "2");
    answerWithRequestId(old.links);
    replacement.links.onMessage("explainQuery", () => createAnswer("new"), stopController.signal);
    old.links.setAddress("vm-1", buildUrl(server.port));
    old.links.send("vm-1", createQuery("hello"));
    await until(() => server.links.hasLink("vm-2"));
    replacement.links.setAddress("vm-1", buildUrl(server.port));
    replacement.links.send("vm-1", createQuery("hello"));
    await until(async () => {
        const answer = await server.links.request("vm-2", createQuery("who"), 200, stopController.signal);
        return answer.isOk() && answer.value.type === "explainAnswer" && listReasons(answer.value)[0] === "new";
    });
});

test("a request to a VM without a known address fails immediately", { timeout: 10_000 }, async () => {
    const { links } = await startLinks("vm-1");
    const answer = await links.request("vm-7", createQuery("a"), 2000, stopController.signal);
    expect(answer._unsafeUnwrapErr().kind).toEqual("no-link");
    expect(links.send("vm-7", createQuery("a"))).toEqual(false);
});

test("bytes on the wire are counted, and repeated messages are compressed to less than half their size", { timeout: 10_000 }, async () => {
    const [linksA, linksB] = await Promise.all([startLinks("a"), startLinks("b")]);
    answerWithRequestId(linksB.links);
    linksA.links.setAddress("b", buildUrl(linksB.port));
    const requestId = "pumpline-model-new/lautoka/3 customer-0831 urgent".repeat(4);
    await requestExplanation(linksA.links, "b", requestId);
    const sentBytesBefore = linksA.links.sentBytes;
    const count = 50;
    for (let index = 0; index < count; index++) {
        await requestExplanation(linksA.links, "b", requestId);
    }
    const bytesPerMessage = (linksA.links.sentBytes - sentBytesBefore) / count;
    expect(sentBytesBefore > 0 && bytesPerMessage > 0).toEqual(true);
    expect(bytesPerMessage).toBeLessThan(requestId.length / 2);
    await until(() => linksB.links.receivedBytes === linksA.links.sentBytes);
});
