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

const stopMs = 5_000;
const answerHeaders = { "call-id": "r-1" };

async function startRelay(route: Partial<RelayRoute>) {
    const scheduler = new VirtualScheduler();
    const upstream = await startScriptedUpstream(controller.signal);
    const relay = await startTestRelay({ timeoutMs: 60_000, ...route }, [upstream.address], controller.signal, scheduler);
    const call = (patience: number) => callRelay(relay.port, { patience: String(patience) });
    return { scheduler, upstream, server: relay.server, loadTracker: relay.loadTracker, call };
}

for (const kind of ["once", "repeatable"] as const) {
    test(`a stopping VM passes on only those ${kind} calls that end before it exits`, async () => {
        const { scheduler, upstream, server, call } = await startRelay({ kind });
        server.disableKeepAlive(scheduler.nowMs() + stopMs);
        const refused = await call(stopMs + 1_000);
        expect([refused.status, JSON.parse(refused.body).error.outcome, upstream.untakenCalls()]).toEqual([503, "not-run", 0]);
        const answer = call(stopMs);
        (await upstream.nextCall()).response.writeHead(200, answerHeaders).end("x");
        expect((await answer).body).toEqual("x");
    });
}

test("a stopping VM still passes on streams, which mostly end long before their deadline", async () => {
    const { scheduler, upstream, server, call } = await startRelay({ kind: "stream" });
    server.disableKeepAlive(scheduler.nowMs() + stopMs);
    const answer = call(stopMs * 2);
    (await upstream.nextCall()).response.writeHead(200, answerHeaders).end("x");
    expect((await answer).body).toEqual("x");
});

for (const kind of ["once", "repeatable", "stream"] as const) {
    test(`a ${kind} call that is unanswered when the VM exits is told that it may have run`, async () => {
        const { upstream, server, call } = await startRelay({ kind });
        const answer = call(60_000);
        await upstream.nextCall();
        server.endUnfinishedCalls();
        const { status, body, isComplete } = await answer;
        expect([status, JSON.parse(body).error.outcome, isComplete]).toEqual([502, "unknown", true]);
        await server.drain();
    });
}

test("a stream that is under way when the VM exits does not look complete", async () => {
    const { upstream, server, call, loadTracker } = await startRelay({ kind: "stream" });
    const answer = call(60_000);
    const { response } = await upstream.nextCall();
    response.writeHead(200, { ...answerHeaders, "content-type": "text/event-stream" }).write("id: 1\ndata: a\n\n");
    while (loadTracker.streamsInFlight("u0") === 0) {
        await new Promise(resolve => setImmediate(resolve));
    }
    server.endUnfinishedCalls();
    expect((await answer).isComplete).toEqual(false);
    await server.drain();
});
