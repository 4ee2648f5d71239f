import { setTimeout as delay } from "node:timers/promises";
import { runtimeOptions } from "../../scripts/runtimeOptions.js";
import { benchCaller } from "./benchCaller.js";
import { BenchProgram } from "./BenchProgram.js";

const engineCount = 3;
const loadCount = 3;
const streamsPerLoad = 360;
/** The engines generate one token per stream in each step. */
const stepMs = 8;
const settleMs = 2_000;
const samplePeriodMs = 500;

interface RelayResult {
    readonly openStreams: number;
    readonly offeredTokensPerSecond: number;
    readonly tokensPerSecond: number;
    readonly maxRssMebibytes: number;
    readonly heapUsedMebibytes: number;
    /** CPU time of the VM as a share of one core. */
    readonly vmCores: number;
    readonly microsecondsPerToken: number;
}

/** Tokens per second that one VM relays over many open streams, and its memory and CPU time under that load. */
export async function measureRelay(durationMs: number): Promise<RelayResult> {
    const options = { models: [benchCaller.model], maxBatchSize: 10_000, stepMs, naturalAnswerTokens: 1_000_000_000 };
    const engines = Array.from(Array(engineCount).keys(), () => BenchProgram.start("engineProgram", options));
    const engineUrls = await Promise.all(engines.map(async engine => (await engine.next("listening")).url));
    const vm = BenchProgram.start("vmProgram", engineUrls, runtimeOptions);
    const { url } = await vm.next("listening");
    const loads = Array.from(Array(loadCount).keys(), () => BenchProgram.start("loadProgram", {}));
    try {
        await Promise.all(loads.map(load => load.ask({ type: "openStreams", url, count: streamsPerLoad }, "opened")));
        await delay(settleMs);
        return await sample(vm, loads, durationMs);
    }
    finally {
        [...loads, vm, ...engines].forEach(program => {
            program.stop();
        });
    }
}

async function sample(vm: BenchProgram, loads: readonly BenchProgram[], durationMs: number): Promise<RelayResult> {
    const takeTokens = () => Promise.all(loads.map(load => load.ask({ type: "reportTokens" }, "tokens")));
    await takeTokens();
    const before = await vm.ask({ type: "reportMemory", collectsGarbage: false }, "memory");
    const startMs = performance.now();
    let maxRssBytes = before.rssBytes;
    while (performance.now() - startMs < durationMs) {
        await delay(samplePeriodMs);
        maxRssBytes = Math.max(maxRssBytes, (await vm.ask({ type: "reportMemory", collectsGarbage: false }, "memory")).rssBytes);
    }
    const reports = await takeTokens();
    const elapsedSeconds = (performance.now() - startMs) / 1000;
    const after = await vm.ask({ type: "reportMemory", collectsGarbage: false }, "memory");
    const tokens = reports.reduce((sum, report) => sum + report.tokens, 0);
    const openStreams = reports.reduce((sum, report) => sum + report.openStreams, 0);
    return {
        openStreams,
        offeredTokensPerSecond: openStreams * 1000 / stepMs,
        tokensPerSecond: tokens / elapsedSeconds,
        maxRssMebibytes: maxRssBytes / 2 ** 20,
        heapUsedMebibytes: after.heapUsedBytes / 2 ** 20,
        vmCores: (after.cpuMs - before.cpuMs) / 1000 / elapsedSeconds,
        microsecondsPerToken: (after.cpuMs - before.cpuMs) * 1000 / tokens,
    };
}
