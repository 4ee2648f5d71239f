import { expect } from "earl";
import { after, test } from "node:test";
import { VirtualScheduler } from "../../core/util/VirtualScheduler.js";
import type { RelayRoute } from "../../schema/relay/RelayRoute.js";
import { callRelay } from "./testing/callRelay.js";
import { openConnection } from "./testing/openConnection.js";
import { startScriptedUpstream } from "./testing/startScriptedUpstream.js";
import { startTestRelay } from "./testing/startTestRelay.js";

const controller = new AbortController();
after(() => {
    controller.abort();
});

const patience = { patience: "60000" };
const streamHeaders = { "call-id": "r-1", "content-type": "text/event-stream" };
const events = ["id: 4\ndata: a\n\n", "id: 8\ndata: b\n\n", "id: 12\ndata: c\n\n"] as const;
const wholeStream = events.join("");
const silenceMs = 1_300;
const resumableStream = { kind: "stream", isResumable: true } as const;

/** Starts a relay in front of two upstreams, the first of which has received a call. */
async function startCall(route: Partial<RelayRoute>, maxRetries = 10, secondAddress?: string, headers: Record<string, string> = patience) {
    const scheduler = new VirtualScheduler();
    const [first, second] = await Promise.all([startScriptedUpstream(controller.signal), startScriptedUpstream(controller.signal)]);
    const relay = await startTestRelay(
        { timeoutMs: 60_000, ...route },
        [first.address, secondAddress ?? second.address],
        controller.signal,
        scheduler,
        maxRetries,
    );
    const answer = callRelay(relay.port, headers);
    return { scheduler, relay, answer, second, firstCall: await first.nextCall() };
}

/** Starts a resumable stream that falls silent after its first event. */
async function startSilentStream(maxRetries?: number, secondAddress?: string, headers?: Record<string, string>) {
    const started = await startCall(resumableStream, maxRetries, secondAddress, headers);
    started.firstCall.response.writeHead(200, streamHeaders);
    started.firstCall.response.write(events[0]);
    await waitFor(() => started.relay.loadTracker.streamsInFlight("u0") === 1);
    await started.scheduler.advanceAsync(silenceMs);
    return started;
}

/** Waits until the sockets of this process have brought about a condition. */
async function waitFor(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

test("a stream is not cut when its upstream falls silent and the retry budget is exhausted", async () => {
    const { answer, firstCall } = await startSilentStream(0);
    firstCall.response.end(events[1] + events[2]);
    expect([(await answer).body, (await answer).isComplete]).toEqual([wholeStream, true]);
});

for (
    const { name, status, headers } of [
        { name: "refuses the call", status: 503, headers: { "not-run": "1" } },
        { name: "answers with an error", status: 500, headers: {} },
        { name: "answers with something else than a stream", status: 200, headers: {} },
    ]
) {
    test(`a stream is not cut when its upstream falls silent and the other one ${name}`, async () => {
        const { answer, firstCall, second, relay } = await startSilentStream();
        const secondCall = await second.nextCall();
        secondCall.response.writeHead(status, { "call-id": "r-1", ...headers }).end("no stream");
        await waitFor(() => relay.loadTracker.callsInFlight("u1") === 0);
        firstCall.response.end(events[1] + events[2]);
        expect([(await answer).body, (await answer).isComplete]).toEqual([wholeStream, true]);
    });
}

test("a stream is not cut when its upstream falls silent and the other one cannot be reached", async () => {
    const { answer, firstCall, relay } = await startSilentStream(10, "127.0.0.1:1");
    await waitFor(() => relay.loadTracker.callsInFlight("u1") === 0);
    firstCall.response.end(events[1] + events[2]);
    expect([(await answer).body, (await answer).isComplete]).toEqual([wholeStream, true]);
});

test("a silent stream that goes on before another upstream has begun to answer stays on its upstream", async () => {
    const { answer, firstCall, second } = await startSilentStream();
    const secondCall = await second.nextCall();
    firstCall.response.write(events[1]);
    await secondCall.closed;
    firstCall.response.end(events[2]);
    expect([(await answer).body, (await answer).isComplete]).toEqual([wholeStream, true]);
});

test("a silent stream is resumed on the upstream that begins to answer, and its first upstream stops", async () => {
    const { answer, firstCall, second } = await startSilentStream();
    const secondCall = await second.nextCall();
    expect(secondCall.request.headers["last-event-id"]).toEqual("4");
    secondCall.response.writeHead(200, streamHeaders);
    secondCall.response.write(events[1]);
    await firstCall.closed;
    secondCall.response.end(events[2]);
    expect([(await answer).body, (await answer).isComplete]).toEqual([wholeStream, true]);
});

test("a silent stream whose upstream breaks while another one has been asked is resumed there", async () => {
    const { answer, firstCall, second } = await startSilentStream();
    const secondCall = await second.nextCall();
    firstCall.response.write("id: 8\nda", () => firstCall.request.socket.resetAndDestroy());
    await firstCall.closed;
    secondCall.response.writeHead(200, streamHeaders).end(events[1] + events[2]);
    expect([(await answer).body, (await answer).isComplete]).toEqual([wholeStream, true]);
});

test("a silent stream stops on its upstream when another one has taken the call without an answer so far", async () => {
    const { answer, firstCall, second, scheduler } = await startSilentStream();
    const secondCall = await second.nextCall();
    await scheduler.advanceAsync(300);
    await firstCall.closed;
    secondCall.response.writeHead(200, streamHeaders).end(events[1] + events[2]);
    expect([(await answer).body, (await answer).isComplete]).toEqual([wholeStream, true]);
});

// Guards against pieces that were missing where a stream was resumed, as neighbouring ids above 2^53 were the same number.
test("a stream with ids above 2^53 that is resumed arrives whole if the other upstream repeats events, and if it does not", async () => {
    const largeEvents = Array.from({ length: 13 }, (...[, index]) => `id: ${2n ** 53n + 1n + BigInt(index)}\ndata: ${index}\n\n`);
    for (const resumedFrom of [7, 4]) {
        const { answer, firstCall, second } = await startCall(resumableStream);
        firstCall.response.writeHead(200, streamHeaders).write(
            largeEvents.slice(0, 7).join(""),
            () => firstCall.response.socket?.destroy(),
        );
        const secondCall = await second.nextCall();
        expect(secondCall.request.headers["last-event-id"]).toEqual(String(2n ** 53n + 7n));
        secondCall.response.writeHead(200, streamHeaders).end(largeEvents.slice(resumedFrom).join(""));
        expect([(await answer).body, (await answer).isComplete]).toEqual([largeEvents.join(""), true]);
    }
});

// Guards against streams of another run that were cut because a caller sent the id of an event of an earlier one.
test("a caller's Last-Event-Id hides events only on a route that may be resumed", async () => {
    for (const { isResumable, body } of [{ isResumable: false, body: wholeStream }, { isResumable: true, body: events[2] }]) {
        const { answer, firstCall } = await startCall({ kind: "stream", isResumable }, 10, undefined, {
            ...patience,
            "last-event-id": "8",
        });
        expect(firstCall.request.headers["last-event-id"]).toEqual("8");
        firstCall.response.writeHead(200, streamHeaders).end(wholeStream);
        expect([(await answer).body, (await answer).isComplete]).toEqual([body, true]);
    }
});

/** Starts a resumable stream and sends parts of its second event, each `intervalMs` after the one before. */
async function startSlowEvent(event: string, partBytes: number, partCount: number, intervalMs: number) {
    const started = await startCall(resumableStream);
    const { response } = started.firstCall;
    response.writeHead(200, streamHeaders);
    response.write(events[0]);
    await waitFor(() => started.relay.loadTracker.streamsInFlight("u0") === 1);
    for (let index = 0; index < partCount; index++) {
        await started.scheduler.advanceAsync(intervalMs);
        await new Promise(resolve => response.write(event.slice(index * partBytes, (index + 1) * partBytes), resolve));
        for (let turns = 0; turns < 50; turns++) {
            await new Promise(resolve => setImmediate(resolve));
        }
    }
    return started;
}

test("a stream whose upstream sends a byte of an event now and then is resumed on another upstream", async () => {
    const { answer, firstCall, second, scheduler } = await startSlowEvent(events[1], 1, 8, 250);
    await scheduler.advanceAsync(300);
    const secondCall = await second.nextCall();
    expect(secondCall.request.headers["last-event-id"]).toEqual("4");
    secondCall.response.writeHead(200, streamHeaders);
    secondCall.response.write(events[1]);
    await firstCall.closed;
    secondCall.response.end(events[2]);
    expect([(await answer).body, (await answer).isComplete]).toEqual([wholeStream, true]);
});

test("a stream whose large event arrives slowly stays on its upstream", async () => {
    const event = `id: 8\ndata: ${"b".repeat(80_000)}\n\n`;
    const { answer, firstCall, second } = await startSlowEvent(event, 10_000, 8, 300);
    firstCall.response.end(event.slice(80_000) + events[2]);
    expect([(await answer).body, second.untakenCalls()]).toEqual([events[0] + event + events[2], 0]);
});

test("a repeatable call is not failed when its upstream is slow and the retry budget is exhausted", async () => {
    const { answer, firstCall, scheduler } = await startCall({ kind: "repeatable", timeoutMs: 2_000 }, 0);
    await scheduler.advanceAsync(1_000);
    firstCall.response.writeHead(200, { "call-id": "r-1" }).end("late");
    expect([(await answer).status, (await answer).body]).toEqual([200, "late"]);
});

test("a repeatable call whose upstream is slow is answered by the upstream that answers first", async () => {
    for (const answersFirst of ["first", "second"] as const) {
        const { answer, firstCall, second, scheduler } = await startCall({ kind: "repeatable", timeoutMs: 2_000 });
        await scheduler.advanceAsync(1_000);
        const secondCall = await second.nextCall();
        const [fast, slow] = answersFirst === "first" ? [firstCall, secondCall] : [secondCall, firstCall];
        fast.response.writeHead(200, { "call-id": "r-1" }).end(answersFirst);
        await slow.closed;
        expect([(await answer).status, (await answer).body]).toEqual([200, answersFirst]);
    }
});

const deadlyPrompt = { "prompt-parts": "common,deadly,own", ...patience };

/** Starts a relay of streams in front of three upstreams, which are chosen in that order. */
async function startPromptRelay() {
    const upstreams = await Promise.all([0, 1, 2].map(() => startScriptedUpstream(controller.signal)));
    const relay = await startTestRelay({ kind: "stream", timeoutMs: 60_000 }, upstreams.map(({ address }) => address), controller.signal);
    return { relay, upstreams };
}

test("a call is not sent to a third upstream when a shared part of its prompt has crashed two", async () => {
    const { relay, upstreams } = await startPromptRelay();
    for (const upstream of upstreams.slice(0, 2)) {
        const answer = callRelay(relay.port, deadlyPrompt);
        await upstream.nextCall();
        upstream.crash();
        expect((await answer).status).toEqual(502);
    }
    await waitFor(() => relay.partGuard.isQuarantined(["deadly"]));
    const refused = await callRelay(relay.port, { ...deadlyPrompt, "prompt-parts": "other,deadly,own-2" });
    const { error } = JSON.parse(refused.body);
    expect([refused.status, error.code, error.outcome, Number(refused.headers["retry-after"]) > 0]).toEqual([
        503,
        "quarantined_prompt_part",
        "not-run",
        true,
    ]);
    const sound = callRelay(relay.port, { ...deadlyPrompt, "prompt-parts": "common,sound,own" });
    (await upstreams[2]?.nextCall())?.response.writeHead(200, streamHeaders).end(wholeStream);
    expect((await sound).body).toEqual(wholeStream);
});

test("a call that waits for its first event is withdrawn when a part of its prompt is quarantined", async () => {
    const { relay, upstreams } = await startPromptRelay();
    const waiting = callRelay(relay.port, deadlyPrompt);
    const waitingCall = await upstreams[0]?.nextCall();
    for (const upstream of upstreams.slice(1)) {
        const answer = callRelay(relay.port, deadlyPrompt);
        await upstream.nextCall();
        upstream.crash();
        expect((await answer).status).toEqual(502);
    }
    await waitingCall?.closed;
    expect((await waiting).status).toEqual(502);
});

test("calls whose connections were reset by upstreams that still run do not quarantine their prompt parts", async () => {
    const { relay, upstreams } = await startPromptRelay();
    for (const upstream of upstreams) {
        const answer = callRelay(relay.port, deadlyPrompt);
        (await upstream.nextCall()).request.socket.resetAndDestroy();
        expect((await answer).status).toEqual(502);
    }
    expect(relay.partGuard.isQuarantined(["common", "deadly"])).toEqual(false);
});

test("a stream that is paused because its caller reads slowly is not sent to another upstream", async () => {
    const scheduler = new VirtualScheduler();
    const [first, second] = await Promise.all([startScriptedUpstream(controller.signal), startScriptedUpstream(controller.signal)]);
    const route = { timeoutMs: 60_000, ...resumableStream };
    const relay = await startTestRelay(route, [first.address, second.address], controller.signal, scheduler);
    const connection = await openConnection(relay.port);
    connection.socket.pause();
    connection.socket.write("GET /a/b HTTP/1.1\r\nHost: shop.example\r\nCall-Id: r-1\r\nPatience: 60000\r\n\r\n");
    const { response } = await first.nextCall();
    // More than the buffers of the kernel hold.
    const event = `data: ${"x".repeat(500_000)}\n\n`;
    const stream = [...Array(64).keys()].map(id => `id: ${id}\n${event}`).join("");
    response.writeHead(200, streamHeaders).end(stream);
    const { socket } = response;
    for (let stillTurns = 0, writtenBytes = 0; stillTurns < 200; stillTurns++) {
        await new Promise(resolve => setImmediate(resolve));
        stillTurns = socket?.bytesWritten === writtenBytes ? stillTurns : 0;
        writtenBytes = socket?.bytesWritten ?? 0;
    }
    expect(response.writableFinished).toEqual(false);
    await scheduler.advanceAsync(silenceMs);
    connection.socket.destroy();
    await waitFor(() => relay.summaries.length > 0);
    expect([relay.summaries[0]?.attempts, second.untakenCalls()]).toEqual([1, 0]);
});

for (const kind of ["once", "stream"] as const) {
    test(`a ${kind} call whose deadline passes while it is placed is refused, and is not sent without a deadline`, async () => {
        const scheduler = new VirtualScheduler();
        const upstream = await startScriptedUpstream(controller.signal);
        const [isPlacing, mayPlace] = [Promise.withResolvers<void>(), Promise.withResolvers<void>()];
        const relay = await startTestRelay({ kind, timeoutMs: 1_000 }, [upstream.address], controller.signal, scheduler, 10, () => {
            isPlacing.resolve();
            return mayPlace.promise;
        });
        const answer = callRelay(relay.port, patience);
        await isPlacing.promise;
        await scheduler.advanceAsync(1_001);
        mayPlace.resolve();
        expect([(await answer).status, JSON.parse((await answer).body).error.outcome]).toEqual([503, "not-run"]);
        expect(upstream.untakenCalls()).toEqual(0);
    });
}

/** Quarantines the part `deadly`, as two crashes of other upstreams would. */
function quarantineDeadlyPart(relay: Awaited<ReturnType<typeof startTestRelay>>): void {
    relay.receiveNews({ kind: "crash", engineKey: "e1", crashedMsAgo: 20, calls: [{ partIds: ["deadly"], sentMsAgo: 30 }] });
    relay.receiveNews({ kind: "crash", engineKey: "e2", crashedMsAgo: 0, calls: [{ partIds: ["deadly"], sentMsAgo: 10 }] });
}

test("a silent stream is not cut when a part of its prompt is quarantined while another upstream has been asked", async () => {
    const { answer, firstCall, second, relay } = await startSilentStream(10, undefined, deadlyPrompt);
    await second.nextCall();
    quarantineDeadlyPart(relay);
    firstCall.response.end(events[1] + events[2]);
    expect([(await answer).body, (await answer).isComplete]).toEqual([wholeStream, true]);
});

test("a response that is under way is not cut when a part of its prompt is quarantined", async () => {
    const upstream = await startScriptedUpstream(controller.signal);
    const relay = await startTestRelay({ kind: "once", timeoutMs: 60_000 }, [upstream.address], controller.signal);
    const connection = await openConnection(relay.port);
    const fields = "Host: shop.example\r\nCall-Id: r-1\r\nPrompt-Parts: common,deadly,own\r\nConnection: close";
    connection.socket.write(`GET /a/b HTTP/1.1\r\n${fields}\r\n\r\n`);
    const { response } = await upstream.nextCall();
    response.writeHead(200, { "call-id": "r-1", "content-length": 600_000 }).write("x".repeat(300_000));
    await connection.receive(/xxx/);
    quarantineDeadlyPart(relay);
    response.end("x".repeat(300_000));
    expect((await connection.receiveAll()).endsWith("x".repeat(600_000))).toEqual(true);
});

test("a call that is withdrawn before it was sent is refused as not run", async () => {
    const scheduler = new VirtualScheduler();
    const upstream = await startScriptedUpstream(controller.signal);
    const relay = await startTestRelay({ kind: "once", timeoutMs: 60_000 }, [upstream.address], controller.signal, scheduler);
    const { recordCallStart } = relay.loadTracker;
    relay.loadTracker.recordCallStart = (...call) => {
        recordCallStart.apply(relay.loadTracker, call);
        setImmediate(() => {
            quarantineDeadlyPart(relay);
        });
    };
    const answer = await callRelay(relay.port, deadlyPrompt);
    expect([answer.status, JSON.parse(answer.body).error.outcome]).toEqual([503, "not-run"]);
});

test("the gaps between a stream's events are recorded as engine speed, without the last one, whose event may be short", async () => {
    const { relay, answer, firstCall, scheduler } = await startCall({ kind: "stream" }, 10, undefined, {
        ...patience,
        "prompt-parts": "a,b",
    });
    const { eventGaps, engineSpeeds } = relay.loadTracker;
    const recordGap = eventGaps.recordGap.bind(eventGaps);
    let gaps = 0;
    eventGaps.recordGap = (...gap) => {
        gaps++;
        recordGap(...gap);
    };
    firstCall.response.writeHead(200, streamHeaders);
    firstCall.response.write(events[0]);
    await waitFor(() => relay.loadTracker.streamsInFlight("u0") === 1);
    for (const [index, gapMs] of [40, 40, 10].entries()) {
        await scheduler.advanceAsync(gapMs);
        firstCall.response.write(`id: ${20 + index}\ndata: d\n\n`);
        await waitFor(() => gaps === index + 1);
    }
    firstCall.response.end();
    await answer;
    const [sample] = engineSpeeds?.takeSamples(-Infinity, () => true, scheduler.nowMs()) ?? [];
    const [id, , shortGaps, longGaps] = sample ?? [];
    expect([id, shortGaps?.length, shortGaps?.[1], longGaps]).toEqual(["u0", 2, 2, []]);
});

test("admission is told which placement of a call is its first", async () => {
    const upstreams = await Promise.all([startScriptedUpstream(controller.signal), startScriptedUpstream(controller.signal)]);
    const firsts: (boolean | undefined)[] = [];
    const addresses = upstreams.map(({ address }) => address);
    const relay = await startTestRelay({}, addresses, controller.signal, new VirtualScheduler(), 10, undefined, {
        refuse: request => {
            firsts.push(request.admission?.isFirst);
            return undefined;
        },
    });
    const answer = callRelay(relay.port, patience);
    (await upstreams[0].nextCall()).response.writeHead(503, { "call-id": "r-1", "not-run": "1" }).end();
    (await upstreams[1].nextCall()).response.writeHead(200, { "call-id": "r-1" }).end("second");
    expect([(await answer).body, firsts]).toEqual(["second", [true, false]]);
});

test("a call for which there is too little room is refused at once, as not run and with the time at which room is expected", async () => {
    const upstream = await startScriptedUpstream(controller.signal);
    const relay = await startTestRelay({}, [upstream.address], controller.signal, new VirtualScheduler(), 10, undefined, {
        refuse: request => {
            expect([request.admission?.mayRefuse, request.admission?.customer]).toEqual([true, "ana"]);
            return { refusedFor: "time-limit", retryAfterMs: 700 };
        },
    });
    const answer = await callRelay(relay.port, patience);
    expect([answer.status, answer.headers["retry-after"]]).toEqual([503, "0.7"]);
    expect(JSON.parse(answer.body)).toEqual({
        error: {
            code: "overloaded",
            message: "service orders has no room for the call before its deadline; retry when room is expected",
            outcome: "not-run",
            request_id: "r-1",
        },
    });
});
