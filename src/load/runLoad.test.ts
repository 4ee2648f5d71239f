import { expect } from "earl";
import fc from "fast-check";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { LoadPlan } from "./LoadPlan.js";
import type { LoadSample } from "./LoadSample.js";
import { planArrivals } from "./planArrivals.js";
import { runLoad } from "./runLoad.js";
import { summarizeLoad } from "./summarizeLoad.js";
import { TokenStreamReader } from "./TokenStreamReader.js";

const chat = {
    kind: "chat",
    name: "short",
    serviceClass: "urgent",
    customerKey: { env: "KEY" },
    ratePerSecond: 100,
    model: "model",
    prompt: { medianTokens: 20, p99Tokens: 200 },
    answer: { medianTokens: 50, p99Tokens: 500 },
};

function createPlan(change: Record<string, unknown>, stream: Record<string, unknown> = {}): LoadPlan {
    return LoadPlan.parse({ callers: ["http://127.0.0.1:1"], durationMs: 60_000, streams: [{ ...chat, ...stream }], ...change });
}

test("arrivals are deterministic for a seed, keep the mean rate and follow rate changes", () => {
    const swings = [{ atMs: 20_000, durationMs: 10_000, factor: 3 }];
    const arrivals = planArrivals(createPlan({}, { swings }));
    expect(planArrivals(createPlan({}, { swings }))).toEqual(arrivals);
    const inside = arrivals.filter(({ dueMs }) => dueMs >= 20_000 && dueMs < 30_000).length;
    // Allows five standard deviations of Poisson counts with means of 3,000 and 5,000.
    expect(Math.abs(inside - 3_000) < 5 * Math.sqrt(3_000)).toEqual(true);
    expect(Math.abs(arrivals.length - inside - 5_000) < 5 * Math.sqrt(5_000)).toEqual(true);
    const sorted = arrivals.map(({ answerTokens }) => answerTokens).sort((left, right) => left - right);
    expect(Math.abs((sorted[Math.floor(sorted.length / 2)] ?? 0) - 50) <= 3).toEqual(true);
});

test("an event stream is parsed the same wherever its chunks are split", () => {
    const text = 'data: {"choices":[{"delta":{"role":"assistant"}}]}\n\ndata: {"choices":[{"delta":{"content":"a"}}]}\n\n: ping\n\n'
        + 'data: {"choices":[{"delta":{"content":"b"}}]}\n\ndata: [DONE]\n\n';
    fc.assert(
        fc.property(fc.array(fc.integer({ min: 0, max: text.length })), cuts => {
            const chunkOffsets = [0, ...cuts.sort((left, right) => left - right), text.length];
            const reader = new TokenStreamReader();
            chunkOffsets.slice(1).forEach((end, index) => {
                reader.add(text.slice(chunkOffsets[index], end), index);
            });
            return reader.tokens === 2 && reader.hasEnded && reader.errorCode === undefined;
        }),
        { seed: 5 },
    );
});

async function withServer(
    sendAnswer: (response: ServerResponse, count: number) => void,
    run: (url: string) => Promise<void>,
): Promise<void> {
    let count = 0;
    const server = createServer((request, response) => {
        request.resume().on("end", () => {
            sendAnswer(response, ++count);
        });
    });
    await new Promise<void>(resolve => {
        server.listen(0, "127.0.0.1", resolve);
    });
    try {
        await run(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
    }
    finally {
        server.close();
        server.closeAllConnections();
    }
}

async function runPlan(plan: LoadPlan, onSample: (sample: LoadSample) => void = () => undefined): Promise<LoadSample[]> {
    const samples: LoadSample[] = [];
    await runLoad({
        plan,
        customerKeys: new Map([["short", "key"]]),
        signal: new AbortController().signal,
        onSample: sample => {
            samples.push(sample);
            onSample(sample);
        },
        onProgress: () => undefined,
    });
    return samples;
}

function sendCompleteAnswer(response: ServerResponse): void {
    response.writeHead(200, { "x-orioleshelf-outcome": "ran" });
    response.end('data: {"choices":[{"delta":{"content":"a"}}]}\n\ndata: [DONE]\n\n');
}

test("requests are sent when due although no earlier one has been answered", async () => {
    const plan = createPlan({ durationMs: 200 });
    const planned = planArrivals(plan).length;
    const heldResponses: ServerResponse[] = [];
    await withServer((response, count) => {
        heldResponses.push(response);
        if (count === planned) {
            heldResponses.forEach(sendCompleteAnswer);
        }
    }, async url => {
        const samples = await runPlan({ ...plan, callers: [url] });
        expect(samples.length).toEqual(planned);
        expect(samples.every(sample => sample.isComplete && sample.tokens === 1)).toEqual(true);
        // The first request is answered when the last one arrives, so its latency is at least the time between their due times.
        const [first] = samples.sort((left, right) => left.dueMs - right.dueMs);
        expect((first?.totalMs ?? 0) >= (planArrivals(plan)[planned - 1]?.dueMs ?? 0) - (first?.dueMs ?? 0)).toEqual(true);
    });
});

test("rejected requests and truncated streams are not counted as complete answers", async () => {
    const plan = createPlan({ durationMs: 100 });
    await withServer((response, count) => {
        if (count === 1) {
            response.writeHead(503, { "x-orioleshelf-outcome": "not-run" });
            response.end('{"error":{"message":"full","code":"shed","outcome":"not-run"}}');
        }
        else if (count === 2) {
            response.write('data: {"choices":[{"delta":{"content":"a"}}]}\n\n', () => response.destroy());
        }
        else if (count === 3) {
            response.end('data: {"choices":[{"delta":{"content":"a"}}]}\n\n');
        }
        else {
            sendCompleteAnswer(response);
        }
    }, async url => {
        const samples = await runPlan({ ...plan, callers: [url] });
        const [summary] = summarizeLoad(samples, { urgent: { firstTokenMs: 10_000, tokenGapMs: 10_000 } });
        expect(samples.length > 3).toEqual(true);
        expect(summary?.completedRequests).toEqual(samples.length - 3);
        expect(samples.find(sample => sample.errorCode === "shed")?.outcome).toEqual("not-run");
        expect(Object.fromEntries(summary?.errors ?? [])["incomplete"]).toEqual(1);
        expect(summary?.attainment).toEqual((samples.length - 3) / samples.length);
    });
});

test("a request beyond the limit of requests in flight is reported as not sent", async () => {
    const plan = createPlan({ durationMs: 300, maxOpenRequests: 3 });
    const heldResponses: ServerResponse[] = [];
    let isReleased = false;
    await withServer(response => {
        if (isReleased) {
            sendCompleteAnswer(response);
        }
        else {
            heldResponses.push(response);
        }
    }, async url => {
        const samples = await runPlan({ ...plan, callers: [url] }, sample => {
            if (sample.errorCode === "not_sent" && !isReleased) {
                isReleased = true;
                heldResponses.forEach(sendCompleteAnswer);
            }
        });
        expect(samples.length).toEqual(planArrivals(plan).length);
        expect(samples.some(sample => sample.errorCode === "not_sent")).toEqual(true);
        expect(samples.every(sample => sample.isComplete || sample.errorCode === "not_sent")).toEqual(true);
    });
});
