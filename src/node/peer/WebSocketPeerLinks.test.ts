import { expect } from "earl";
import { once } from "node:events";
import { afterEach, test } from "node:test";
import { WebSocket } from "ws";
import { until } from "../../../proof/fakes/until.js";
import { SwallowingProxy } from "../../../standins/proxy/SwallowingProxy.js";
import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import { SystemScheduler } from "../timers/SystemScheduler.js";
import { defaultPeerLinkLimits } from "./defaultPeerLinkLimits.js";
import { WebSocketPeerLinks } from "./WebSocketPeerLinks.js";

const limits = { ...defaultPeerLinkLimits, pingAfterMs: 30, silentAfterMs: 120, redialAfterMs: 40, maxFrameBytes: 64 * 1024 };
let stop = new AbortController();

afterEach(() => {
    stop.abort();
    stop = new AbortController();
});

interface Started {
    readonly links: WebSocketPeerLinks;
    readonly port: number;
}

async function startLinks(vm: string, sharedKey = "shared", incarnation = "1"): Promise<Started> {
    const links = new WebSocketPeerLinks({
        self: { vm, incarnation },
        listenHost: "127.0.0.1",
        listenPort: 0,
        sharedKey,
        scheduler: new SystemScheduler(),
        limits,
    });
    const port = (await links.start(stop.signal))._unsafeUnwrap();
    return { links, port };
}

function urlOf(port: number): string {
    return `ws://127.0.0.1:${port}/peer`;
}

function query(subject: string): PeerMessage {
    return { type: "explainQuery", query: { type: "request", requestId: subject } };
}

function answerOf(...texts: string[]): PeerMessage {
    const reasons = texts.map(reason => ({ reason, count: 1, exampleRequestIds: [] }));
    return { type: "explainAnswer", part: { events: [], reasons, configOffset: 0, configSinceAtMs: 0 } };
}

function textsOf(answer: Extract<PeerMessage, { type: "explainAnswer"; }>): string[] {
    return answer.part.reasons.map(({ reason }) => reason);
}

/** Answers each explain query with its own subject, so that the asker sees that the whole way works. */
function echo(links: WebSocketPeerLinks): void {
    links.onMessage(
        "explainQuery",
        (from, { query }) => answerOf(from, query.type === "request" ? query.requestId : query.type),
        stop.signal,
    );
}

async function ask(links: WebSocketPeerLinks, vm: string, subject: string): Promise<unknown> {
    const answer = await links.request(vm, query(subject), 2000, stop.signal);
    return answer.isOk() && answer.value.type === "explainAnswer" ? textsOf(answer.value) : answer;
}

test("requests and replies pass both ways over one link that either end dialled", { timeout: 10_000 }, async () => {
    const [left, right] = [await startLinks("vm-1"), await startLinks("vm-2")];
    echo(left.links);
    echo(right.links);
    left.links.setAddress("vm-2", urlOf(right.port));
    expect(await ask(left.links, "vm-2", "a")).toEqual(["vm-1", "a"]);
    expect(await ask(right.links, "vm-1", "b")).toEqual(["vm-2", "b"]);
});

test("both ends dial at once and keep one and the same connection", { timeout: 10_000 }, async () => {
    const [left, right] = [await startLinks("vm-1"), await startLinks("vm-2")];
    echo(left.links);
    echo(right.links);
    left.links.setAddress("vm-2", urlOf(right.port));
    right.links.setAddress("vm-1", urlOf(left.port));
    const answers = await Promise.all([ask(left.links, "vm-2", "a"), ask(right.links, "vm-1", "b")]);
    expect(answers).toEqual([["vm-1", "a"], ["vm-2", "b"]]);
    expect(await ask(left.links, "vm-2", "c")).toEqual(["vm-1", "c"]);
});

test("a peer with another key is refused by either end", { timeout: 10_000 }, async () => {
    const [left, right] = [await startLinks("vm-1"), await startLinks("vm-2", "other")];
    echo(right.links);
    left.links.setAddress("vm-2", urlOf(right.port));
    const answer = await left.links.request("vm-2", query("a"), 500, stop.signal);
    expect(answer.isErr()).toEqual(true);
    expect(left.links.hasLink("vm-2")).toEqual(false);
    expect(right.links.hasLink("vm-1")).toEqual(false);
});

test("an impostor that repeats what it hears gets no link and learns no key", { timeout: 10_000 }, async () => {
    const server = await startLinks("vm-1");
    const socket = new WebSocket(urlOf(server.port));
    const [hello] = await once(socket, "message");
    const introduction = JSON.parse(String(hello)) as Record<string, unknown>;
    expect(Object.keys(introduction).sort()).toEqual(["incarnation", "nonce", "protocolVersion", "vm"]);
    socket.send(JSON.stringify({ ...introduction, vm: "vm-9", generation: 1, proof: "0".repeat(64) }));
    await once(socket, "close");
    expect(server.links.hasLink("vm-9")).toEqual(false);
});

test("another protocol version, text that is no JSON and an oversized frame close the connection", { timeout: 10_000 }, async () => {
    const server = await startLinks("vm-1");
    const nonce = "0".repeat(32);
    const badFrames = [
        JSON.stringify({ protocolVersion: 999, vm: "vm-9", incarnation: "1", nonce, generation: 1, proof: "0".repeat(64) }),
        "no json",
        JSON.stringify({ vm: "x".repeat(4000) }),
        "x".repeat(limits.maxFrameBytes + 1),
    ];
    for (const frame of badFrames) {
        const socket = new WebSocket(urlOf(server.port));
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
        echo(right.links);
        const proxy = new SwallowingProxy(right.port);
        left.links.setAddress("vm-2", urlOf(await proxy.start(stop.signal)));
        expect(await ask(left.links, "vm-2", "before")).toEqual(["vm-1", "before"]);
        proxy.swallow(direction);
        await until(async () => (await left.links.request("vm-2", query("after"), 200, stop.signal)).isOk());
        expect(left.links.hasLink("vm-2")).toEqual(true);
    });
}

test("a newer incarnation under the same VM id takes the link over", { timeout: 10_000 }, async () => {
    const server = await startLinks("vm-1");
    const old = await startLinks("vm-2", "shared", "1");
    const replacement = await startLinks("vm-2", "shared", "2");
    echo(old.links);
    replacement.links.onMessage("explainQuery", () => answerOf("new"), stop.signal);
    old.links.setAddress("vm-1", urlOf(server.port));
    old.links.send("vm-1", query("hello"));
    await until(() => server.links.hasLink("vm-2"));
    replacement.links.setAddress("vm-1", urlOf(server.port));
    replacement.links.send("vm-1", query("hello"));
    await until(async () => {
        const answer = await server.links.request("vm-2", query("who"), 200, stop.signal);
        return answer.isOk() && answer.value.type === "explainAnswer" && textsOf(answer.value)[0] === "new";
    });
});

test("a request to a VM without a known address fails at once", { timeout: 10_000 }, async () => {
    const { links } = await startLinks("vm-1");
    const answer = await links.request("vm-7", query("a"), 2000, stop.signal);
    expect(answer._unsafeUnwrapErr().kind).toEqual("no-link");
    expect(links.send("vm-7", query("a"))).toEqual(false);
});

test("the bytes on the wire are counted, and repeated messages shrink to a part of their size", { timeout: 10_000 }, async () => {
    const [a, b] = await Promise.all([startLinks("a"), startLinks("b")]);
    echo(b.links);
    a.links.setAddress("b", urlOf(b.port));
    const subject = "pumpline-model-new/lautoka/3 customer-0831 urgent".repeat(4);
    await ask(a.links, "b", subject);
    const before = a.links.sentBytes;
    const count = 50;
    for (let index = 0; index < count; index++) {
        await ask(a.links, "b", subject);
    }
    const perMessage = (a.links.sentBytes - before) / count;
    expect(before > 0 && perMessage > 0).toEqual(true);
    expect(perMessage).toBeLessThan(subject.length / 2);
    await until(() => b.links.receivedBytes === a.links.sentBytes);
});
