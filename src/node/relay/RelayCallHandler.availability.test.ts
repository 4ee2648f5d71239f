import { expect } from "earl";
import { after, test } from "node:test";
import { VirtualScheduler } from "../../core/util/VirtualScheduler.js";
import type { RelayRoute } from "../../schema/relay/RelayRoute.js";
import { callRelay } from "./testing/callRelay.js";
import { startScriptedUpstream } from "./testing/startScriptedUpstream.js";
import { startTestRelay } from "./testing/startTestRelay.js";

const controller = new AbortController();
after(() => {
    controller.abort();
});

const answerHeaders = { "call-id": "r-1" };
const pauseHeaders = { ...answerHeaders, "not-run": "1", "retry-after": "2" };

/** Starts a relay of calls in front of upstreams that are chosen in their order; `maxRetries` is for each service. */
async function startRelay(upstreamCount: number, route: Partial<RelayRoute> = {}) {
    const scheduler = new VirtualScheduler();
    const upstreams = await Promise.all([...Array(upstreamCount).keys()].map(() => startScriptedUpstream(controller.signal)));
    const relay = await startTestRelay(
        { kind: "once", timeoutMs: 60_000, targetMs: 400, maxAttempts: 1, ...route },
        upstreams.map(({ address }) => address),
        controller.signal,
        scheduler,
    );
    const call = () => callRelay(relay.port, { patience: "60000" });
    return { scheduler, relay, upstreams, call };
}

type Upstream = Awaited<ReturnType<typeof startScriptedUpstream>>;

async function answerNext(upstream: Upstream | undefined, status = 200, headers: Record<string, string> = answerHeaders): Promise<void> {
    (await upstream?.nextCall())?.response.writeHead(status, headers).end();
}

test("an upstream that refuses a call with a retry delay gets none until it is over, and then one at a time until it answers", async () => {
    const { scheduler, upstreams: [first, second], call } = await startRelay(2);
    const refused = call();
    await answerNext(first, 503, pauseHeaders);
    expect((await refused).status).toEqual(503);
    for (let index = 0; index < 18; index++) {
        await scheduler.advanceAsync(100);
        const answer = call();
        await answerNext(second);
        expect((await answer).status).toEqual(200);
    }
    expect(first?.untakenCalls()).toEqual(0);
    await scheduler.advanceAsync(1_000);
    const [resumed, other] = [call(), call()];
    await Promise.all([answerNext(first), answerNext(second)]);
    expect([(await resumed).status, (await other).status]).toEqual([200, 200]);
});

test("a refused call is retried at once on another upstream than the one that asked for a pause", async () => {
    const { upstreams: [first, second], call } = await startRelay(2, { maxAttempts: 2 });
    const answer = call();
    await answerNext(first, 503, pauseHeaders);
    await answerNext(second);
    expect((await answer).status).toEqual(200);
});

test("an error response of an upstream with a retry delay pauses it too", async () => {
    const { upstreams: [first, second], call } = await startRelay(2);
    const failed = call();
    await answerNext(first, 503, { ...answerHeaders, "retry-after": "2" });
    expect((await failed).status).toEqual(502);
    const answer = call();
    await answerNext(second);
    expect([(await answer).status, first?.untakenCalls()]).toEqual([200, 0]);
});

for (
    const { name, status, headers } of [
        { name: "an answer", status: 200, headers: {} },
        { name: "a refusal", status: 503, headers: { "not-run": "1" } },
        { name: "the head of a stream", status: 200, headers: { "content-type": "text/event-stream" } },
    ]
) {
    test(`an upstream that says in ${name} that it is leaving gets no further calls`, async () => {
        const { upstreams: [first, second], call } = await startRelay(2, { kind: "stream" });
        const farewell = call();
        await answerNext(first, status, { ...answerHeaders, ...headers, "leaving": "1" });
        expect((await farewell).status).toEqual(status);
        const answer = call();
        await answerNext(second);
        expect([(await answer).status, first?.untakenCalls()]).toEqual([200, 0]);
    });
}

test("a leaving header in a response that belongs to another call says nothing about the upstream", async () => {
    const { scheduler, upstreams: [first], call } = await startRelay(1);
    const broken = call();
    await answerNext(first, 200, { "call-id": "r-other", "leaving": "1" });
    expect((await broken).status).toEqual(502);
    await scheduler.advanceAsync(5_000);
    const answer = call();
    await answerNext(first);
    expect((await answer).status).toEqual(200);
});

test("a call waits for the end of a pause that ends well before its target", async () => {
    const { scheduler, upstreams: [first], call } = await startRelay(1);
    const refused = call();
    await answerNext(first, 503, { ...pauseHeaders, "retry-after": "0.1" });
    await refused;
    const answer = call();
    for (let elapsedMs = 0; first?.untakenCalls() === 0; elapsedMs += 10) {
        expect(elapsedMs <= 400).toEqual(true);
        await scheduler.advanceAsync(10);
    }
    expect(scheduler.nowMs() >= 100).toEqual(true);
    await answerNext(first);
    expect((await answer).status).toEqual(200);
});

test("a call is refused at once, as not run, when all upstreams pause for longer than its target allows", async () => {
    const { upstreams: [first], call } = await startRelay(1);
    const refused = call();
    await answerNext(first, 503, pauseHeaders);
    await refused;
    const { status, headers, body } = await call();
    const { error } = JSON.parse(body);
    expect([status, error.code, error.outcome, Number(headers["retry-after"]) >= 2]).toEqual([503, "upstreams_paused", "not-run", true]);
    expect(first?.untakenCalls()).toEqual(0);
});
