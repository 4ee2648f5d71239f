import { expect } from "earl";
import { connect } from "node:net";
import { test } from "node:test";
import OpenAI from "openai";
import { answerText } from "../../standins/engine/answerText.js";
import { Fault } from "../../standins/shared/Fault.js";
import { setUpEngines } from "./setUpEngines.js";
import { streamText } from "./streamText.js";
import { until } from "./until.js";

const model = "pumpline-model";
const prompt = "the hose leaks at the swivel";
const messages = [{ role: "user" as const, content: prompt }];
const testOptions = { timeout: 15_000 };
const endless = { naturalAnswerTokens: 1_000_000 };
const eventPaddingBytes = 64 * 1024;
/** An answer of 512 MiB, far more than the sockets on the way to the caller can hold. */
const bulkyAnswerTokens = 8 * 1024;
/** Turns of the event loop without a new token after which the engine is held back and not only waiting for a socket to be read. */
const stoppedTurns = 1_000;

test("aborting a stream cancels the engine's call and is reported to the observer", testOptions, async context => {
    const { client, edge, first } = await setUpEngines(context, [endless]);
    const stream = await client.chat.completions.create({ model, stream: true, messages });
    let chunks = 0;
    for await (const chunk of stream) {
        chunks += chunk.choices.length;
        if (chunks === 5) {
            stream.controller.abort();
        }
    }
    const [end] = await edge.waitForEnded(1);
    expect([end?.isAbandoned, end?.isComplete, end?.errorCode]).toEqual([true, false, "caller_gone"]);
    await until(() => first.calls[0]?.state === "cancelled");
    expect(edge.dispatch.ends.map(grant => grant.result)).toEqual(["cancelled"]);
});

test("a caller that disconnects before its answer arrives leaves no open grant or engine call", testOptions, async context => {
    const { client, edge, first } = await setUpEngines(context, [{ maxBatchSize: 1, ...endless }]);
    const abort = new AbortController();
    const answer = client.chat.completions.create({ model, messages }, { signal: abort.signal });
    await until(() => first.calls.length === 1);
    abort.abort();
    await expect(answer).toBeRejected();
    await edge.waitForEnded(1);
    await until(() => first.calls[0]?.state === "cancelled");
    expect(edge.dispatch.open.size).toEqual(0);
});

test("a caller that reads slowly holds the engine back, and nothing piles up in between", async context => {
    const engineOptions = { naturalAnswerTokens: bulkyAnswerTokens, eventPaddingBytes, stepMs: 0 };
    const { edge, url, first } = await setUpEngines(context, [engineOptions]);
    const abort = new AbortController();
    const answer = await fetch(`${url}/v1/chat/completions`, {
        method: "POST",
        headers: edge.headers,
        body: JSON.stringify({ model, messages, stream: true }),
        signal: abort.signal,
    });
    const call = first.calls[0]!;
    let producedTokens = call.tokens;
    for (let turns = 0; turns < stoppedTurns && call.state === "running"; turns++) {
        await new Promise(resolve => setImmediate(resolve));
        if (call.tokens !== producedTokens) {
            producedTokens = call.tokens;
            turns = 0;
        }
    }
    expect([call.state, first.blockedRuns]).toEqual(["running", 1]);
    const reader = answer.body!.getReader();
    while (call.tokens === producedTokens) {
        expect((await reader.read()).done).toEqual(false);
    }
    abort.abort();
    await edge.waitForEnded(1);
});

test("a drain refuses new requests with outcome not-run and lets the in-flight stream finish", testOptions, async context => {
    const { client, edge, url, first } = await setUpEngines(context, [{ stepMs: 10 }]);
    const text = streamText(client, prompt);
    await until(() => (first.calls[0]?.tokens ?? 0) > 2);
    let isDrained = false;
    const drained = edge.server.drain().then(() => {
        isDrained = true;
    });
    expect((await fetch(`${url}/readyz`)).status).toEqual(503);
    expect((await fetch(`${url}/healthz`)).status).toEqual(200);
    const refused = await fetch(`${url}/v1/chat/completions`, { method: "POST", headers: edge.headers, body: "{}" });
    expect([refused.status, refused.headers.get("x-orioleshelf-outcome")]).toEqual([503, "not-run"]);
    expect([isDrained, edge.server.activeRequestCount]).toEqual([false, 1]);
    expect(await text).toEqual(answerText(prompt, 32, 1));
    await drained;
    expect(edge.server.activeRequestCount).toEqual(0);
});

test("the OpenAI client maps each kind of error to its own error class", testOptions, async context => {
    const { client, edge, url } = await setUpEngines(context, [{}]);
    const create = (overrides: { client?: OpenAI; model?: string; headers?: Record<string, string>; } = {}) =>
        (overrides.client ?? client).chat.completions.create({ model: overrides.model ?? model, messages }, { headers: overrides.headers });
    const unknownKeyClient = new OpenAI({ apiKey: "sk-nobody", baseURL: `${url}/v1`, maxRetries: 0 });
    await expect(() => create({ client: unknownKeyClient })).toBeRejectedWith(OpenAI.AuthenticationError);
    await expect(() => create({ headers: { "x-orioleshelf-class": "manual" } })).toBeRejectedWith(OpenAI.PermissionDeniedError);
    await expect(() => create({ model: "no-such-model" })).toBeRejectedWith(OpenAI.NotFoundError);
    await expect(() => client.chat.completions.create({ model, messages: [] })).toBeRejectedWith(OpenAI.BadRequestError);
    edge.limitRefusal = { kind: "tokens-per-minute", retryAfterMs: 10 };
    await expect(() => create()).toBeRejectedWith(OpenAI.RateLimitError);
    edge.limitRefusal = undefined;
    edge.dispatch.refusals.push({ kind: "shed", retryAfterMs: 20, message: "too much work; send again later" });
    await expect(() => create()).toBeRejectedWith(OpenAI.InternalServerError);
    expect(edge.ends.every(end => end.outcome === "not-run")).toEqual(true);
});

test("the OpenAI client retries a request refused as not-run after the indicated delay", testOptions, async context => {
    const { client, edge } = await setUpEngines(context, [{}], {}, 1);
    edge.dispatch.refusals.push({ kind: "shed", retryAfterMs: 1, message: "too much work; send again later" });
    expect(await streamText(client, prompt)).toEqual(answerText(prompt, 32, 1));
    expect((await edge.waitForEnded(2)).map(end => end.status)).toEqual([503, 200]);
});

test("the OpenAI client does not retry a call that may have run", testOptions, async context => {
    const { client, edge, first } = await setUpEngines(context, [{}], {}, 3);
    first.faults.set(Fault.parse({ kind: "crash-mid-stream", afterTokens: 0 }));
    await expect(() => client.chat.completions.create({ model, messages })).toBeRejected();
    expect((await edge.waitForEnded(1)).map(end => end.outcome)).toEqual(["unknown"]);
    expect(edge.ends.length).toEqual(1);
});

test(
    "a caller that stops reading is disconnected after the stall time-out, and its engine call is cancelled",
    testOptions,
    async context => {
        const { edge, url, first } = await setUpEngines(context, [{ ...endless, stepMs: 0 }], {
            callerLimits: { callerStallTimeoutMs: 50 },
        });
        const body = JSON.stringify({ model, messages, stream: true });
        const socket = connect(Number(new URL(url).port), "127.0.0.1");
        context.after(() => socket.destroy());
        socket.write(
            `POST /v1/chat/completions HTTP/1.1\r\nhost: vm\r\nauthorization: Bearer ${edge.key}\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
        );
        const [end] = await edge.waitForEnded(1);
        expect([end?.isComplete, end?.isAbandoned]).toEqual([false, true]);
        await until(() => first.calls[0]?.state === "cancelled");
    },
);
