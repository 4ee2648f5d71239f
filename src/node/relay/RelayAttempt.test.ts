import { expect } from "earl";
import { after, test } from "node:test";
import { VirtualScheduler } from "../../core/util/VirtualScheduler.js";
import { SystemScheduler } from "../timers/SystemScheduler.js";
import { startEndlessUpstream } from "../upstream/testing/startEndlessUpstream.js";
import { callRelay } from "./testing/callRelay.js";
import { startTestRelay } from "./testing/startTestRelay.js";

const controller = new AbortController();
after(() => {
    controller.abort();
});

/** So late that a connection that is closed at the deadline counts as still open. */
const farDeadline = { timeoutMs: 60_000 };
const patience = { patience: "60000" };
const head = "HTTP/1.1 200 OK\r\ncall-id: r-1\r\n";
const chunkedHead = `${head}transfer-encoding: chunked\r\n\r\n`;
const completeResponse = { start: `${head}content-length: 4\r\n\r\ngood`, filler: "" };

const endlessFraming = [
    { name: "status line", start: "HTTP/1.1 200 ", filler: "OK " },
    { name: "header name", start: `${head}x-`, filler: "a" },
    { name: "header value", start: `${head}x-a: `, filler: "a" },
    { name: "header value of spaces", start: `${head}x-a: `, filler: " " },
    { name: "list of headers", start: head, filler: "x-a: b\r\n" },
    { name: "list of interim responses", start: "", filler: "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n" },
    { name: "list of empty lines", start: "", filler: "\r\n" },
    { name: "message that is not HTTP", start: "", filler: "not HTTP at all\n" },
    { name: "binary message", start: "\u0000\u0001", filler: "\u0000" },
    { name: "chunk size", start: chunkedHead, filler: "0" },
    { name: "chunk extension", start: `${chunkedHead}5;a=`, filler: "b" },
    { name: "list of chunk extensions", start: `${chunkedHead}5`, filler: ";a=b" },
    { name: "trailer value", start: `${chunkedHead}4\r\nevil\r\n0\r\nx-a: `, filler: "a" },
    { name: "list of trailers", start: `${chunkedHead}4\r\nevil\r\n0\r\n`, filler: "x-a: b\r\n" },
    { name: "list of trailers without values", start: `${chunkedHead}4\r\nevil\r\n0\r\n`, filler: "x-a:   \r\n" },
];

for (const { name, ...response } of endlessFraming) {
    test(`an endless ${name} fails the upstream's connection, and the call that may have run is not repeated`, async () => {
        const upstream = await startEndlessUpstream([response], controller.signal);
        const relay = await startTestRelay({ ...farDeadline, kind: "once" }, [upstream.address], controller.signal);
        const answer = callRelay(relay.port, patience);
        expect(await upstream.end).toEqual("closed by the router");
        const { status, body, isComplete } = await answer;
        expect([status, JSON.parse(body).error.outcome, isComplete]).toEqual([502, "unknown", true]);
        expect(relay.health.isAvoided("u0", new SystemScheduler().nowMs())).toEqual(true);
    });

    test(`a repeatable call whose upstream sends an endless ${name} is answered by another upstream`, async () => {
        const upstream = await startEndlessUpstream([response], controller.signal);
        const healthy = await startEndlessUpstream([completeResponse], controller.signal);
        const relay = await startTestRelay({ ...farDeadline }, [upstream.address, healthy.address], controller.signal);
        const answer = callRelay(relay.port, patience);
        expect(await upstream.end).toEqual("closed by the router");
        expect([(await answer).body, (await callRelay(relay.port, patience)).body]).toEqual(["good", "good"]);
    });
}

const unasked = [
    { name: "empty lines", filler: "\r\n" },
    { name: "bytes that are not HTTP", filler: "not HTTP at all\n" },
    { name: "responses to no call", filler: "HTTP/1.1 200 OK\r\ncall-id: r-9\r\ncontent-length: 4\r\n\r\nevil" },
    { name: "responses to the same call", filler: `${head}content-length: 4\r\n\r\nevil` },
];

for (const { name, filler } of unasked) {
    test(`endless ${name} after a complete response close the connection, and the next call is answered`, async () => {
        const upstream = await startEndlessUpstream([{ ...completeResponse, filler }, completeResponse], controller.signal);
        const relay = await startTestRelay({ ...farDeadline, kind: "once" }, [upstream.address], controller.signal);
        expect((await callRelay(relay.port, patience)).body).toEqual("good");
        expect(await upstream.end).toEqual("closed by the router");
        expect([(await callRelay(relay.port, patience)).body, upstream.connectionCount()]).toEqual(["good", 2]);
    });
}

for (const { name, filler } of unasked.filter(entry => entry.name !== "responses to the same call")) {
    test(`endless ${name} on a reused connection fail the call that may have run, and the next call is answered`, async () => {
        const upstream = await startEndlessUpstream([completeResponse, { start: "", filler }, completeResponse], controller.signal);
        const relay = await startTestRelay({ ...farDeadline, kind: "once" }, [upstream.address], controller.signal);
        expect((await callRelay(relay.port, patience)).body).toEqual("good");
        const answer = callRelay(relay.port, patience);
        expect(await upstream.end).toEqual("closed by the router");
        expect([(await answer).status, JSON.parse((await answer).body).error.outcome]).toEqual([502, "unknown"]);
        expect([(await callRelay(relay.port, patience)).body, upstream.requestCount()]).toEqual(["good", 3]);
    });
}

test("an upstream whose address the client rejects costs a call no more than one that is unreachable", async () => {
    const healthy = await startEndlessUpstream([completeResponse], controller.signal);
    const addresses = ["127.0.0.1:99999", "%:80", "127.0.0.1:0", healthy.address];
    const relay = await startTestRelay({ ...farDeadline, kind: "once" }, addresses, controller.signal);
    expect((await callRelay(relay.port, patience)).body).toEqual("good");
});

test("a connection is kept however many responses without a body or with small chunks it carries", async () => {
    const longHeader = `x-a: ${"a".repeat(8_000)}\r\n`;
    const responses = [
        ...Array<{ start: string; filler: string; }>(20).fill({
            start: `HTTP/1.1 204 No Content\r\ncall-id: r-1\r\n${longHeader}\r\n`,
            filler: "",
        }),
        { start: `${chunkedHead}${"1\r\na\r\n".repeat(30_000)}0\r\n\r\n`, filler: "" },
        completeResponse,
    ];
    const upstream = await startEndlessUpstream(responses, controller.signal);
    const relay = await startTestRelay({ ...farDeadline }, [upstream.address], controller.signal);
    const lengths: number[] = [];
    while (lengths.length < responses.length) {
        lengths.push((await callRelay(relay.port, patience)).body.length);
    }
    expect([lengths, upstream.connectionCount()]).toEqual([[...Array<number>(20).fill(0), 30_000, 4], 1]);
});

const slowResponses = [
    { name: "status line", start: "HTTP/1.1 200 ", filler: "OK " },
    { name: "header", start: `${head}x-a: `, filler: "a" },
    { name: "list of interim responses", start: "", filler: "HTTP/1.1 103 Early Hints\r\n\r\n" },
    { name: "body without a length", start: `${head}\r\n`, filler: "a" },
    { name: "chunked body", start: chunkedHead, filler: "1\r\na\r\n" },
    { name: "chunk extension", start: `${chunkedHead}5;a=`, filler: "b" },
    { name: "list of trailers", start: `${chunkedHead}0\r\n`, filler: "x-a: b\r\n" },
];

for (const { name, ...response } of slowResponses) {
    test(`an endless ${name}, sent one byte at a time, ends at the call's deadline`, async () => {
        const upstream = await startEndlessUpstream([{ ...response, isSlow: true }, completeResponse], controller.signal);
        const scheduler = new VirtualScheduler();
        const relay = await startTestRelay({ timeoutMs: 200, kind: "once" }, [upstream.address], controller.signal, scheduler);
        const answer = callRelay(relay.port, patience);
        await upstream.start;
        scheduler.advance(200);
        const { status, body } = await answer;
        expect([status, JSON.parse(body).error.outcome, await upstream.end]).toEqual([504, "unknown", "closed by the router"]);
        expect((await callRelay(relay.port, patience)).body).toEqual("good");
    });
}

const largeBody = "not an event\n".repeat(50_000);

for (const kind of ["once", "repeatable", "stream"] as const) {
    test(`a response of more than 256 KiB that is no event stream reaches the caller of a ${kind} route whole, though no event ends in it`, async () => {
        const sized = { start: `${head}content-length: ${largeBody.length}\r\n\r\n${largeBody}`, filler: "" };
        const chunked = { start: `${chunkedHead}${largeBody.length.toString(16)}\r\n${largeBody}\r\n0\r\n\r\n`, filler: "" };
        const upstream = await startEndlessUpstream([sized, chunked], controller.signal);
        const relay = await startTestRelay({ ...farDeadline, kind }, [upstream.address], controller.signal);
        for (let count = 0; count < 2; count++) {
            const { status, body, isComplete } = await callRelay(relay.port, patience);
            expect([status, body === largeBody, isComplete]).toEqual([200, true, true]);
        }
        expect(relay.health.isAvoided("u0", new SystemScheduler().nowMs())).toEqual(false);
    });
}

test("a large response that breaks off is cut and not continued with the response of another upstream", async () => {
    const brokenChunk = `${chunkedHead}${largeBody.length.toString(16)}\r\n${largeBody}\r\nno chunk size\r\n`;
    const broken = await startEndlessUpstream([{ start: brokenChunk, filler: "" }], controller.signal);
    const healthy = await startEndlessUpstream(
        [{ start: `${head}content-length: ${largeBody.length}\r\n\r\n${largeBody}`, filler: "" }],
        controller.signal,
    );
    const relay = await startTestRelay({ ...farDeadline }, [broken.address, healthy.address], controller.signal);
    const answer = await callRelay(relay.port, patience);
    expect([answer.isComplete, largeBody.startsWith(answer.body), healthy.requestCount()]).toEqual([false, true, 0]);
    expect((await callRelay(relay.port, patience)).body === largeBody).toEqual(true);
});

test("a resumed stream is not continued with a large response that is no event stream", async () => {
    const streamHead = `${chunkedHead.slice(0, -2)}content-type: text/event-stream\r\n\r\n`;
    const broken = await startEndlessUpstream(
        [{ start: `${streamHead}f\r\nid: 4\ndata: a\n\n\r\nno chunk size\r\n`, filler: "" }],
        controller.signal,
    );
    const other = await startEndlessUpstream(
        [{ start: `${head}content-length: ${largeBody.length}\r\n\r\n${largeBody}`, filler: "" }],
        controller.signal,
    );
    const relay = await startTestRelay(
        { ...farDeadline, kind: "stream", isResumable: true },
        [broken.address, other.address],
        controller.signal,
    );
    const answer = await callRelay(relay.port, patience);
    expect([answer.body, answer.isComplete, other.requestCount()]).toEqual(["id: 4\ndata: a\n\n", false, 1]);
});

for (const [name, start] of [["without a length", `${head}\r\n`], ["of chunks", chunkedHead]] as const) {
    test(`an endless body ${name} leaves the caller's response incomplete at the deadline`, async () => {
        const filler = start === chunkedHead ? "5\r\nhello\r\n" : "hello";
        const upstream = await startEndlessUpstream([{ start, filler }, completeResponse], controller.signal);
        const scheduler = new VirtualScheduler();
        const relay = await startTestRelay({ timeoutMs: 500 }, [upstream.address], controller.signal, scheduler);
        const pendingAnswer = callRelay(relay.port, patience);
        // The body has no limit of its own, so the upstream sends all that it has.
        expect(await upstream.end).toEqual("still open after 64 MiB");
        scheduler.advance(500);
        const answer = await pendingAnswer;
        expect([answer.status, answer.isComplete, answer.body.startsWith("hellohello")]).toEqual([200, false, true]);
        expect((await callRelay(relay.port, patience)).body).toEqual("good");
    });
}

const streamHead = `${head}content-type: text/event-stream\r\n`;
const firstEvent = "id: 4\ndata: a\n\n";
const endlessEvents = [
    { name: "line", start: `${streamHead}\r\n${firstEvent}data: `, filler: "a" },
    { name: "list of lines", start: `${streamHead}\r\n${firstEvent}`, filler: "data: a\n" },
    { name: "line in chunks", start: `${streamHead}transfer-encoding: chunked\r\n\r\nf\r\n${firstEvent}\r\n`, filler: "5\r\nhello\r\n" },
];

for (const { name, ...response } of endlessEvents) {
    test(`a stream whose event is an endless ${name} is closed, and the caller's response is cut after its last complete event`, async () => {
        const upstream = await startEndlessUpstream([response], controller.signal);
        const relay = await startTestRelay({ ...farDeadline, kind: "stream" }, [upstream.address], controller.signal);
        const answer = callRelay(relay.port, patience);
        expect(await upstream.end).toEqual("closed by the router");
        const { body, isComplete } = await answer;
        expect([body, isComplete, relay.health.isAvoided("u0", new SystemScheduler().nowMs())]).toEqual([firstEvent, false, true]);
    });

    test(`a resumable stream whose event is an endless ${name} is resumed on another upstream, without the incomplete event`, async () => {
        const upstream = await startEndlessUpstream([response], controller.signal);
        const rest = "id: 8\ndata: b\n\n";
        const healthy = await startEndlessUpstream(
            [{ start: `${streamHead}content-length: ${rest.length}\r\n\r\n${rest}`, filler: "" }],
            controller.signal,
        );
        const relay = await startTestRelay(
            { ...farDeadline, kind: "stream", isResumable: true },
            [upstream.address, healthy.address],
            controller.signal,
        );
        const answer = callRelay(relay.port, patience);
        expect(await upstream.end).toEqual("closed by the router");
        expect([(await answer).body, (await answer).isComplete]).toEqual([`${firstEvent}${rest}`, true]);
    });
}

const refusalHead = "HTTP/1.1 503 Service Unavailable\r\nnot-run: 1\r\n";
const endlessRefusals = [
    { name: "body without a length", start: `${refusalHead}\r\n`, filler: "a" },
    { name: "chunked body", start: `${refusalHead}transfer-encoding: chunked\r\n\r\n`, filler: "5\r\nhello\r\n" },
    { name: "chunk extension", start: `${refusalHead}transfer-encoding: chunked\r\n\r\n5;a=`, filler: "b" },
    { name: "slow body", start: `${refusalHead}\r\n`, filler: "a", isSlow: true },
];

for (const { name, ...response } of endlessRefusals) {
    test(`a call refused with an endless ${name} is sent to another upstream, even if it may run only once`, async () => {
        const upstream = await startEndlessUpstream([response], controller.signal);
        const healthy = await startEndlessUpstream([completeResponse], controller.signal);
        const relay = await startTestRelay({ ...farDeadline, kind: "once" }, [upstream.address, healthy.address], controller.signal);
        const answer = callRelay(relay.port, patience);
        expect(await upstream.end).toEqual("closed by the router");
        expect([(await answer).body, relay.health.isAvoided("u0", new SystemScheduler().nowMs())]).toEqual(["good", true]);
    });

    test(`a call refused with an endless ${name} is reported as not run when no other upstream is left`, async () => {
        const upstream = await startEndlessUpstream([response, completeResponse], controller.signal);
        const relay = await startTestRelay({ ...farDeadline, kind: "once", maxAttempts: 1 }, [upstream.address], controller.signal);
        const answer = callRelay(relay.port, patience);
        expect(await upstream.end).toEqual("closed by the router");
        expect([(await answer).status, JSON.parse((await answer).body).error.outcome]).toEqual([503, "not-run"]);
        expect((await callRelay(relay.port, patience)).body).toEqual("good");
    });
}

for (const [name, idHeader] of [["the earlier call's id", "call-id: r-1\r\n"], ["no id", ""]] as const) {
    test(`a refusal written once more on a kept connection, with ${name}, does not make a call that may run only once repeatable`, async () => {
        const end = "content-length: 0\r\n\r\n";
        const faulty = await startEndlessUpstream(
            [{ start: `${refusalHead}call-id: r-1\r\n${end}`, filler: "" }, { start: `${refusalHead}${idHeader}${end}`, filler: "" }],
            controller.signal,
        );
        const healthy = await startEndlessUpstream([completeResponse], controller.signal);
        const relay = await startTestRelay({ ...farDeadline, kind: "once" }, [faulty.address, healthy.address], controller.signal);
        expect((await callRelay(relay.port, patience)).body).toEqual("good");
        const { status, body } = await callRelay(relay.port, { ...patience, "call-id": "r-2" });
        expect([status, JSON.parse(body).error.outcome]).toEqual([502, "unknown"]);
        expect([faulty.requestCount(), faulty.connectionCount(), healthy.requestCount()]).toEqual([2, 1, 1]);
    });
}

test("a refusal sent together with the response before it is not read as the response to the next call", async () => {
    const extra = `${refusalHead}content-length: 0\r\n\r\n`;
    const upstream = await startEndlessUpstream(
        [{ ...completeResponse, start: completeResponse.start + extra }, completeResponse],
        controller.signal,
    );
    const relay = await startTestRelay({ ...farDeadline, kind: "once" }, [upstream.address], controller.signal);
    expect([(await callRelay(relay.port, patience)).body, (await callRelay(relay.port, patience)).body]).toEqual(["good", "good"]);
    expect([upstream.requestCount(), upstream.connectionCount()]).toEqual([2, 2]);
});

test("a call whose upstream refused it is reported as not run at a deadline before the end of the refusal", async () => {
    const upstream = await startEndlessUpstream([{ start: `${refusalHead}\r\n`, filler: "a", isSlow: true }], controller.signal);
    const scheduler = new VirtualScheduler();
    const relay = await startTestRelay({ timeoutMs: 60, kind: "once" }, [upstream.address], controller.signal, scheduler);
    const answer = callRelay(relay.port, patience);
    await upstream.start;
    scheduler.advance(60);
    const { status, body } = await answer;
    expect([status, JSON.parse(body).error.outcome, await upstream.end]).toEqual([503, "not-run", "closed by the router"]);
});

test("an endless body of a response that belongs to another call is not read", async () => {
    const upstream = await startEndlessUpstream(
        [{ start: "HTTP/1.1 200 OK\r\ncall-id: r-9\r\n\r\n", filler: "a" }, completeResponse],
        controller.signal,
    );
    const relay = await startTestRelay({ ...farDeadline, kind: "once" }, [upstream.address], controller.signal);
    const answer = callRelay(relay.port, patience);
    expect(await upstream.end).toEqual("closed by the router");
    expect([(await answer).status, relay.health.isAvoided("u0", new SystemScheduler().nowMs())]).toEqual([502, true]);
    expect((await callRelay(relay.port, patience)).body).toEqual("good");
});
