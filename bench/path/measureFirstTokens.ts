import { runtimeOptions } from "../../scripts/runtimeOptions.js";
import { benchCaller } from "./benchCaller.js";
import { BenchProgram } from "./BenchProgram.js";
import { quantile } from "./quantile.js";

const ratePerSecond = 200;
const answerTokens = 20;
const warmUpMs = 3_000;

interface FirstTokenResult {
    readonly streams: number;
    readonly failures: number;
    readonly directP50Ms: number;
    readonly directP99Ms: number;
    readonly routedP50Ms: number;
    readonly routedP99Ms: number;
    readonly addedP50Ms: number;
    readonly addedP99Ms: number;
}

/** Time to first token through one VM compared with direct calls to the same engine, interleaved in one run. */
export async function measureFirstTokens(durationMs: number): Promise<FirstTokenResult> {
    const engine = BenchProgram.start("engineProgram", {
        models: [benchCaller.model],
        maxBatchSize: 10_000,
        stepMs: 1,
        naturalAnswerTokens: answerTokens,
    });
    const engineUrl = (await engine.next("listening")).url;
    const vm = BenchProgram.start("vmProgram", [engineUrl], runtimeOptions);
    const vmUrl = (await vm.next("listening")).url;
    const load = BenchProgram.start("loadProgram", {});
    const command = { type: "startStreams" as const, urls: [engineUrl, vmUrl], ratePerSecond: 2 * ratePerSecond, answerTokens };
    try {
        await load.ask({ ...command, durationMs: warmUpMs }, "firstTokens");
        const { samplesMs, failures } = await load.ask({ ...command, durationMs }, "firstTokens");
        const [direct = [], routed = []] = samplesMs;
        const p50 = { direct: quantile(direct, 0.5), routed: quantile(routed, 0.5) };
        const p99 = { direct: quantile(direct, 0.99), routed: quantile(routed, 0.99) };
        return {
            streams: routed.length,
            failures,
            directP50Ms: p50.direct,
            directP99Ms: p99.direct,
            routedP50Ms: p50.routed,
            routedP99Ms: p99.routed,
            addedP50Ms: p50.routed - p50.direct,
            addedP99Ms: p99.routed - p99.direct,
        };
    }
    finally {
        load.stop();
        vm.stop();
        engine.stop();
    }
}
