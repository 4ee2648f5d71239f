import { expect } from "earl";
import { test, type TestContext } from "node:test";
import OpenAI from "openai";
import { answerText } from "../../standins/engine/answerText.js";
import { EngineStandin } from "../../standins/engine/EngineStandin.js";
import type { EngineStandinOptions } from "../../standins/engine/EngineStandinOptions.js";
import { EdgeFixture } from "./EdgeFixture.js";

const prompt = "the compressor does not start";
const model = "pumpline-model";

test("a streamed chat through the OpenAI client delivers the complete answer, each token once", async context => {
    const { client, edge, engines } = await setUp(context, 1);
    const stream = await client.chat.completions.create({ model, stream: true, messages: [{ role: "user", content: prompt }] });
    let text = "";
    for await (const chunk of stream) {
        text += chunk.choices[0]?.delta.content ?? "";
    }
    expect(text).toEqual(answerText(prompt, 32, 1));
    const [end] = await edge.waitForEnded(1);
    expect([end?.status, end?.outcome, end?.tokens, end?.wastedTokens, end?.isComplete, end?.upstreamId])
        .toEqual([200, "ran", 32, 0, true, "engine-1"]);
    expect(engines[0]!.calls.map(call => call.state)).toEqual(["done"]);
    expect(edge.dispatch.ends.map(grant => [grant.result, grant.outputTokens])).toEqual([["completed", 32]]);
});

test("an unstreamed chat through the OpenAI client returns the text, the finish reason and the usage", async context => {
    const { client } = await setUp(context, 1);
    const answer = await client.chat.completions.create({ model, max_tokens: 10, messages: [{ role: "user", content: prompt }] });
    expect(answer.choices[0]?.message.content).toEqual(answerText(prompt, 10, 1));
    expect(answer.choices[0]?.finish_reason).toEqual("length");
    expect(answer.usage?.completion_tokens).toEqual(10);
});

test("a text completion is served, and the models are listed", async context => {
    const { client } = await setUp(context, 1);
    const answer = await client.completions.create({ model, prompt });
    expect(answer.choices[0]?.text).toEqual(answerText(prompt, 32, 1));
    expect((await client.models.list()).data.map(item => item.id)).toEqual([model]);
});

test("a stream whose engine crashes continues on another engine, each token once and in order", async context => {
    const { client, engines, edge } = await setUp(context, 2);
    engines[0]!.faults.set({ kind: "crash-mid-stream", delayMs: 0, factor: 1, afterTokens: 7, times: 1 });
    const stream = await client.chat.completions.create({ model, stream: true, messages: [{ role: "user", content: prompt }] });
    let text = "";
    for await (const chunk of stream) {
        text += chunk.choices[0]?.delta.content ?? "";
    }
    expect(text).toEqual(answerText(prompt, 32, 1));
    const [end] = await edge.waitForEnded(1);
    expect([end?.tokens, end?.attempts, end?.isComplete]).toEqual([32, 2, true]);
    expect(engines[1]!.calls.map(call => call.tokens)).toEqual([25]);
    expect(edge.events.map(event => event.kind)).toInclude("continued");
});

async function setUp(
    context: TestContext,
    engineCount: number,
    options: Partial<EngineStandinOptions> = {},
): Promise<{ client: OpenAI; edge: EdgeFixture; engines: EngineStandin[]; }> {
    const stop = new AbortController();
    const engines = Array.from({ length: engineCount }, () => new EngineStandin(options));
    const engineUrls = await Promise.all(engines.map(engine => engine.start(stop.signal)));
    const edge = new EdgeFixture({ engineUrls });
    const url = await edge.start();
    context.after(() => {
        edge.close();
        stop.abort();
    });
    return { client: new OpenAI({ apiKey: edge.key, baseURL: `${url}/v1`, maxRetries: 0 }), edge, engines };
}
