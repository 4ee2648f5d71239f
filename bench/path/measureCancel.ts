import { runtimeOptions } from "../../scripts/runtimeOptions.js";
import type { CallRecord } from "../../standins/shared/CallRecord.js";
import { benchCaller } from "./benchCaller.js";
import { BenchProgram } from "./BenchProgram.js";
import { quantile } from "./quantile.js";

const streamCount = 200;
const stepMs = 5;
const pollMs = 100;

interface CancelResult {
    readonly streams: number;
    readonly p50Ms: number;
    readonly maxMs: number;
}

/** Time from a caller's abort until the engine has stopped generating, over many streams. */
export async function measureCancel(): Promise<CancelResult> {
    const options = { models: [benchCaller.model], maxBatchSize: 10_000, stepMs, naturalAnswerTokens: 1_000_000_000 };
    const engine = BenchProgram.start("engineProgram", options);
    const engineUrl = (await engine.next("listening")).url;
    const vm = BenchProgram.start("vmProgram", [engineUrl], runtimeOptions);
    const { url } = await vm.next("listening");
    const load = BenchProgram.start("loadProgram", {});
    try {
        const { abortedAtMs } = await load.ask({ type: "abortStreams", url, count: streamCount }, "aborted");
        const calls = await endedCalls(engineUrl);
        const delaysMs = calls.map(call => (call.endedMs ?? Infinity) - (abortedAtMs[call.requestId ?? ""] ?? Number.NaN));
        return { streams: delaysMs.length, p50Ms: quantile(delaysMs, 0.5), maxMs: Math.max(...delaysMs) };
    }
    finally {
        load.stop();
        vm.stop();
        engine.stop();
    }
}

/** Polls the engine stand-in until none of its calls is running, then returns the calls. */
async function endedCalls(engineUrl: string): Promise<readonly CallRecord[]> {
    for (;;) {
        const calls = await (await fetch(`${engineUrl}/_standin/calls`)).json() as CallRecord[];
        if (calls.every(call => call.state !== "running")) {
            return calls;
        }
        await new Promise(resolve => setTimeout(resolve, pollMs));
    }
}
