import { expect } from "earl";
import { test } from "node:test";
import { VirtualScheduler } from "../../src/core/util/VirtualScheduler.js";
import { answerText } from "../../standins/engine/answerText.js";
import { Fault } from "../../standins/shared/Fault.js";
import { passSilenceLimit } from "./passSilenceLimit.js";
import { setUpEngines } from "./setUpEngines.js";
import { streamText } from "./streamText.js";
import { until } from "./until.js";

const prompt = "the gauge shows nothing";
const whole = answerText(prompt, 32, 1);
const limits = { timeout: 15_000 };

test("an engine that goes silent in mid-stream is left after the gap limit, and its work is cancelled", limits, async context => {
    const scheduler = new VirtualScheduler();
    const { client, edge, engines, first } = await setUpEngines(context, [{}, {}], { scheduler });
    first.faults.set(Fault.parse({ kind: "silent", afterTokens: 5 }));
    const text = streamText(client, prompt);
    await until(() => first.calls[0]?.tokens === 5);
    await passSilenceLimit(edge, scheduler);
    expect(await text).toEqual(whole);
    await until(() => first.calls[0]?.state === "cancelled");
    expect(engines[1]!.calls.length).toEqual(1);
    expect((await edge.ended(1))[0]?.attempts).toEqual(2);
});

test("a connection that swallows the request is left after the head limit, and the next one is new", limits, async context => {
    const scheduler = new VirtualScheduler();
    const { client, edge, engines, proxies } = await setUpEngines(context, [{}, {}], { scheduler });
    proxies[0]!.mode = "swallow-request";
    const text = streamText(client, prompt);
    await until(() => proxies[0]!.accepted === 1);
    await passSilenceLimit(edge, scheduler);
    expect(await text).toEqual(whole);
    expect(engines.map(engine => engine.calls.length)).toEqual([0, 1]);
    proxies[0]!.mode = "pass";
    expect([await streamText(client, prompt), await streamText(client, prompt)]).toEqual([whole, whole]);
    expect(engines.reduce((calls, engine) => calls + engine.calls.length, 0)).toEqual(3);
    expect(edge.dispatch.open.size).toEqual(0);
});

test("a connection that loses the answer in mid-stream is replaced, each token once", limits, async context => {
    const scheduler = new VirtualScheduler();
    const { client, edge, first, proxies } = await setUpEngines(context, [{ stepMs: 10 }, {}], { scheduler });
    const text = streamText(client, prompt);
    await until(() => (first.calls[0]?.tokens ?? 0) >= 3);
    proxies[0]!.mode = "swallow-answer";
    await passSilenceLimit(edge, scheduler);
    expect(await text).toEqual(whole);
});

test("a stream broken three times still gives each token once, in order", limits, async context => {
    const { client, edge, engines } = await setUpEngines(context, [{}, {}, {}, {}]);
    [4, 9, 11].forEach((afterTokens, index) => {
        engines[index]!.faults.set(Fault.parse({ kind: "crash-mid-stream", afterTokens }));
    });
    expect(await streamText(client, prompt)).toEqual(whole);
    const [end] = await edge.ended(1);
    expect([end?.attempts, end?.tokens, end?.isComplete]).toEqual([4, 32, true]);
});

test("when no engine finishes the stream the client is told so, with the outcome unknown", limits, async context => {
    const { client, edge, engines } = await setUpEngines(context, [{}, {}]);
    engines.forEach(engine => engine.faults.set(Fault.parse({ kind: "crash-mid-stream", afterTokens: 3 })));
    await expect(() => streamText(client, prompt)).toBeRejectedWith(/upstream/);
    const [end] = await edge.ended(1);
    expect([end?.outcome, end?.isComplete, end?.errorCode]).toEqual(["unknown", false, "no_upstream"]);
});

test("engines that cannot resume: a whole answer starts over, a stream that was begun is told as broken", limits, async context => {
    const { client, edge, first } = await setUpEngines(context, [{}, { canResume: false }, { canResume: false }]);
    first.faults.set(Fault.parse({ kind: "crash-mid-stream", afterTokens: 6, times: 1 }));
    const answer = await client.chat.completions.create({ model: "pumpline-model", messages: [{ role: "user", content: prompt }] });
    expect(answer.choices[0]?.message.content).toEqual(whole);
    expect((await edge.ended(1))[0]?.wastedTokens).toEqual(6);
});

test("engines that refuse or are leaving run nothing, and the request goes on to the next", limits, async context => {
    const { client, edge, engines } = await setUpEngines(context, [{}, {}, {}]);
    engines[0]!.faults.set(Fault.parse({ kind: "refuse" }));
    engines[1]!.faults.set(Fault.parse({ kind: "leaving" }));
    expect(await streamText(client, prompt)).toEqual(whole);
    expect(engines.map(engine => engine.calls.length)).toEqual([0, 0, 1]);
    expect((await edge.ended(1))[0]?.wastedTokens).toEqual(0);
});

test("engines that all state they did nothing give not-run", limits, async context => {
    const { client, edge, first } = await setUpEngines(context, [{}]);
    first.faults.set(Fault.parse({ kind: "leaving" }));
    await expect(() => streamText(client, prompt)).toBeRejectedWith(/leaving|upstream/);
    expect((await edge.ended(1))[0]?.outcome).toEqual("not-run");
    expect(first.calls.length).toEqual(0);
});

test("a preempted stream gives its slot back and goes on later, each token once", limits, async context => {
    const { client, edge, first } = await setUpEngines(context, [{ stepMs: 5 }]);
    const text = streamText(client, prompt);
    await until(() => (first.calls[0]?.tokens ?? 0) >= 8);
    [...edge.dispatch.open][0]!.preempt.abort();
    expect(await text).toEqual(whole);
    expect(edge.dispatch.ends.map(end => end.result)).toEqual(["cancelled", "completed"]);
    const [end] = await edge.ended(1);
    // Tokens that were still under way when the connection was closed are known to the engine only.
    expect(first.calls.reduce((tokens, call) => tokens + call.tokens, 0)).toSatisfy(produced => produced >= 32 + (end?.wastedTokens ?? 0));
});

test("a stream that is moved off a slow engine does not go back there", limits, async context => {
    const { client, edge, first } = await setUpEngines(context, [{ stepMs: 5 }, {}]);
    const text = streamText(client, prompt);
    await until(() => (first.calls[0]?.tokens ?? 0) >= 8);
    const [grant] = [...edge.dispatch.open];
    grant!.preempt.abort("slow-upstream");
    expect(await text).toEqual(whole);
    const [slow] = edge.dispatch.tickets.map(ticket => ticket.excludedUpstreams);
    expect(slow).toEqual([]);
    expect(edge.dispatch.tickets[1]?.excludedUpstreams.length).toEqual(1);
    expect(first.calls.length).toEqual(1);
});

test("answers that come late and out of order each reach their own caller", limits, async context => {
    const { client, proxies } = await setUpEngines(context, [{ maxBatchSize: 4 }, {}]);
    proxies[0]!.mode = "late-answer";
    const prompts = Array.from(Array(24).keys(), index => `question ${index}`);
    const texts = await Promise.all(prompts.map(text => streamText(client, text)));
    expect(texts).toEqual(prompts.map(text => answerText(text, 32, 1)));
});

test("an upstream that fails call after call is passed over", limits, async context => {
    const { client, edge, engines, first } = await setUpEngines(context, [{}, {}]);
    first.faults.set(Fault.parse({ kind: "down" }));
    for (let call = 0; call < 14; call++) {
        expect(await streamText(client, prompt)).toEqual(whole);
    }
    expect(edge.dispatch.ends.filter(end => end.result === "unused").length).toSatisfy(count => count > 0);
    expect(engines[1]!.calls.length).toEqual(14);
});
