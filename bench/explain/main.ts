// Measures the CPU time of recording decision events per request: `npm run bench:explain`; `--check` fails above the bound.
// The baseline is the minimum work of any router for a request: one HTTP server and one HTTP client that transfer a short
// streamed answer, without any scheduling decision.
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { Agent, request } from "undici";
import { EventRing } from "../../src/node/explain/EventRing.js";
import type { DecisionEvent } from "../../src/schema/explain/DecisionEvent.js";

/** Maximum CPU time of recording as a share of the baseline; the target of issue 6. */
const maxShare = 0.02;
const ringBytes = 16 * 1024 * 1024;
const requestCount = 2_000;
const openRequests = 16;
/** Short, so that the baseline is low: at the two-year size an answer has 325 tokens on average. */
const tokensPerAnswer = 40;
const recordedRequests = 200_000;
const rounds = 5;

/** Records all events of one completion, those of its entry VM and of its dispatcher; returns their number. */
function recordRequest(ring: EventRing, index: number): number {
    const subject = `0e6f${index}-3a77-4ff0-8c7e-0123456789ab`;
    const add = (kind: DecisionEvent["kind"], facts: DecisionEvent["facts"]) => {
        ring.record({ atMs: Date.now(), vm: "lautoka-1", kind, subject, serviceClass: "urgent", facts });
    };
    add("received", { customer: "forecourt-vans" });
    add("path", { path: "new", pool: "pumpline-model-new" });
    add("queued", { pool: "pumpline-model-new", attempt: 0 });
    add("granted", { upstream: "engine-new-ba", attempt: 0 });
    add("granted", {
        shard: "pumpline-model-new",
        dispatcher: "nadi-1",
        upstream: "engine-new-ba",
        waitedMs: 0,
        predictedFirstTokenMs: 43,
        predictedFinishMs: 93,
        runnersUp: `engine-new-nadi ${index} ms, engine-new-lautoka 105 ms`,
    });
    add("sent", { upstream: "engine-new-ba", fromToken: 0 });
    add("first-token", { upstream: "engine-new-ba", afterMs: 5 });
    add("judged", { verdict: "good", path: "new", outcome: "ran", status: 200, totalMs: 48.6, queueMs: 1, firstTokenMs: 5.3 });
    add("finished", { status: 200, outcome: "ran", tokens: 23, wastedTokens: 0, totalMs: 49 });
    return 9;
}

function measureRecording(): { cpuUs: number; events: number; } {
    const ring = new EventRing(ringBytes);
    let events = 0;
    for (let index = 0; index < recordedRequests / 10; index++) {
        recordRequest(ring, index);
    }
    const before = process.cpuUsage();
    for (let index = 0; index < recordedRequests; index++) {
        events = recordRequest(ring, index);
    }
    return { cpuUs: elapsedCpuUs(before) / recordedRequests, events };
}

async function measureBaseline(): Promise<number> {
    const server = createServer((incoming, response) => {
        incoming.resume().on("end", () => {
            sendTokens(response, tokensPerAnswer);
        });
    });
    await new Promise<void>(resolve => {
        server.listen(0, "127.0.0.1", resolve);
    });
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    const dispatcher = new Agent({ connections: openRequests });
    await sendRequests(url, dispatcher, requestCount / 10);
    const before = process.cpuUsage();
    await sendRequests(url, dispatcher, requestCount);
    const cpuUs = elapsedCpuUs(before) / requestCount;
    await dispatcher.destroy();
    server.close();
    return cpuUs;
}

function sendTokens(response: ServerResponse, left: number): void {
    if (left === 0) {
        response.end("data: [DONE]\n\n");
        return;
    }
    response.write('data: {"choices":[{"delta":{"content":"pump "}}]}\n\n');
    setImmediate(sendTokens, response, left - 1);
}

async function sendRequests(url: string, dispatcher: Agent, count: number): Promise<void> {
    let left = count;
    const sendUntilDone = async () => {
        while (left-- > 0) {
            const answer = await request(url, { method: "POST", body: '{"model":"pumpline-model"}', dispatcher });
            for await (const chunk of answer.body) {
                void chunk;
            }
        }
    };
    await Promise.all(Array.from({ length: openRequests }, sendUntilDone));
}

function elapsedCpuUs(before: NodeJS.CpuUsage): number {
    const { user, system } = process.cpuUsage(before);
    return user + system;
}

function median(values: readonly number[]): number {
    return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;
}

const recordings = Array.from({ length: rounds }, measureRecording);
const baselines: number[] = [];
for (let round = 0; round < rounds; round++) {
    baselines.push(await measureBaseline());
}
const recordingUs = median(recordings.map(({ cpuUs }) => cpuUs));
const baselineUs = median(baselines);
const share = recordingUs / baselineUs;
console.log(JSON.stringify({
    bench: "explain",
    eventsPerRequest: recordings[0]?.events,
    recordCpuUsPerRequest: Number(recordingUs.toFixed(2)),
    relayFloorCpuUsPerRequest: Number(baselineUs.toFixed(1)),
    share: Number(share.toFixed(4)),
    maxShare,
}));
if (process.argv.includes("--check") && share > maxShare) {
    console.error(`recording decision events takes ${(share * 100).toFixed(2)}% of the baseline CPU time, more than ${maxShare * 100}%`);
    process.exitCode = 1;
}
