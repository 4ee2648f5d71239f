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
const completeText = answerText(prompt, 32, 1);
const testOptions = { timeout: 15_000 };

test("a stream moves off an engine that stalls in mid-stream, and the stalled call is cancelled", testOptions, async context => {
    const scheduler = new VirtualScheduler();
    const { client, edge, engines, first } = await setUpEngines(context, [{}, {}], { scheduler });
    first.faults.set(Fault.parse({ kind: "silent", afterTokens: 5 }));
    const text = streamText(client, prompt);
    await until(() => first.calls[0]?.tokens === 5);
    await passSilenceLimit(edge, scheduler);
    expect(await text).toEqual(completeText);
    await until(() => first.calls[0]?.state === "cancelled");
    expect(engines[1]!.calls.length).toEqual(1);
    expect((await edge.waitForEnded(1))[0]?.attempts).toEqual(2);
});

test("a request lost in transit moves on after the header time-out, and its connection is not reused", testOptions, async context => {
    const scheduler = new VirtualScheduler();
    const { client, edge, engines, proxies } = await setUpEngines(context, [{}, {}], { scheduler });
    proxies[0]!.mode = "swallow-request";
    const text = streamText(client, prompt);
    await until(() => proxies[0]!.accepted === 1);
    await passSilenceLimit(edge, scheduler);
    expect(await text).toEqual(completeText);
    expect(engines.map(engine => engine.calls.length)).toEqual([0, 1]);
    proxies[0]!.mode = "pass";
    expect([await streamText(client, prompt), await streamText(client, prompt)]).toEqual([completeText, completeText]);
    expect(engines.reduce((calls, engine) => calls + engine.calls.length, 0)).toEqual(3);
    expect(edge.dispatch.open.size).toEqual(0);
});

test("a stream whose connection loses the answer resumes on another one, each token once", testOptions, async context => {
    const scheduler = new VirtualScheduler();
    const { client, edge, first, proxies } = await setUpEngines(context, [{ stepMs: 10 }, {}], { scheduler });
    const text = streamText(client, prompt);
    await until(() => (first.calls[0]?.tokens ?? 0) >= 3);
    proxies[0]!.mode = "swallow-answer";
    await passSilenceLimit(edge, scheduler);
    expect(await text).toEqual(completeText);
});

test("a stream interrupted three times delivers each token once and in order", testOptions, async context => {
    const { client, edge, engines } = await setUpEngines(context, [{}, {}, {}, {}]);
    [4, 9, 11].forEach((afterTokens, index) => {
        engines[index]!.faults.set(Fault.parse({ kind: "crash-mid-stream", afterTokens }));
    });
    expect(await streamText(client, prompt)).toEqual(completeText);
    const [end] = await edge.waitForEnded(1);
    expect([end?.attempts, end?.tokens, end?.isComplete]).toEqual([4, 32, true]);
});

test("a stream that no engine completes fails with outcome unknown", testOptions, async context => {
    const { client, edge, engines } = await setUpEngines(context, [{}, {}]);
    engines.forEach(engine => engine.faults.set(Fault.parse({ kind: "crash-mid-stream", afterTokens: 3 })));
    await expect(() => streamText(client, prompt)).toBeRejectedWith(/upstream/);
    const [end] = await edge.waitForEnded(1);
    expect([end?.outcome, end?.isComplete, end?.errorCode]).toEqual(["unknown", false, "no_upstream"]);
});

test("an unstreamed answer restarts from the first token on an engine that cannot resume", testOptions, async context => {
    const { client, edge, first } = await setUpEngines(context, [{}, { canResume: false }, { canResume: false }]);
    first.faults.set(Fault.parse({ kind: "crash-mid-stream", afterTokens: 6, times: 1 }));
    const answer = await client.chat.completions.create({ model: "pumpline-model", messages: [{ role: "user", content: prompt }] });
    expect(answer.choices[0]?.message.content).toEqual(completeText);
    expect((await edge.waitForEnded(1))[0]?.wastedTokens).toEqual(6);
});

test("engines that refuse or are leaving run nothing, and the request moves to the next engine", testOptions, async context => {
    const { client, edge, engines } = await setUpEngines(context, [{}, {}, {}]);
    engines[0]!.faults.set(Fault.parse({ kind: "refuse" }));
    engines[1]!.faults.set(Fault.parse({ kind: "leaving" }));
    expect(await streamText(client, prompt)).toEqual(completeText);
    expect(engines.map(engine => engine.calls.length)).toEqual([0, 0, 1]);
    expect((await edge.waitForEnded(1))[0]?.wastedTokens).toEqual(0);
});

test("a request has outcome not-run when every engine reports that it did not run it", testOptions, async context => {
    const { client, edge, first } = await setUpEngines(context, [{}]);
    first.faults.set(Fault.parse({ kind: "leaving" }));
    await expect(() => streamText(client, prompt)).toBeRejectedWith(/leaving|upstream/);
    expect((await edge.waitForEnded(1))[0]?.outcome).toEqual("not-run");
    expect(first.calls.length).toEqual(0);
});

test("a preempted stream releases its grant, resumes later and delivers each token once", testOptions, async context => {
    const { client, edge, first } = await setUpEngines(context, [{ stepMs: 5 }]);
    const text = streamText(client, prompt);
    await until(() => (first.calls[0]?.tokens ?? 0) >= 8);
    [...edge.dispatch.open][0]!.preempt.abort();
    expect(await text).toEqual(completeText);
    expect(edge.dispatch.ends.map(end => end.result)).toEqual(["cancelled", "completed"]);
    const [end] = await edge.waitForEnded(1);
    // The engine also counts tokens that were in flight when the connection was closed.
    expect(first.calls.reduce((tokens, call) => tokens + call.tokens, 0)).toSatisfy(produced => produced >= 32 + (end?.wastedTokens ?? 0));
});

test("a stream moved off a slow engine does not return to it", testOptions, async context => {
    const { client, edge, first } = await setUpEngines(context, [{ stepMs: 5 }, {}]);
    const text = streamText(client, prompt);
    await until(() => (first.calls[0]?.tokens ?? 0) >= 8);
    const [grant] = [...edge.dispatch.open];
    grant!.preempt.abort("slow-upstream");
    expect(await text).toEqual(completeText);
    const [slow] = edge.dispatch.tickets.map(ticket => ticket.excludedUpstreams);
    expect(slow).toEqual([]);
    expect(edge.dispatch.tickets[1]?.excludedUpstreams.length).toEqual(1);
    expect(first.calls.length).toEqual(1);
});

test("answers that arrive late and out of order each reach their own caller", testOptions, async context => {
    const { client, proxies } = await setUpEngines(context, [{ maxBatchSize: 4 }, {}]);
    proxies[0]!.mode = "late-answer";
    const prompts = Array.from(Array(24).keys(), index => `question ${index}`);
    const texts = await Promise.all(prompts.map(text => streamText(client, text)));
    expect(texts).toEqual(prompts.map(text => answerText(text, 32, 1)));
});

test("an upstream that fails repeatedly is skipped", testOptions, async context => {
    const { client, edge, engines, first } = await setUpEngines(context, [{}, {}]);
    first.faults.set(Fault.parse({ kind: "down" }));
    for (let call = 0; call < 14; call++) {
        expect(await streamText(client, prompt)).toEqual(completeText);
    }
    expect(edge.dispatch.ends.filter(end => end.result === "unused").length).toSatisfy(count => count > 0);
    expect(engines[1]!.calls.length).toEqual(14);
});
