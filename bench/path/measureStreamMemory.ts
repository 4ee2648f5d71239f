import { setTimeout as delay } from "node:timers/promises";
import { runtimeOptions } from "../../scripts/runtimeOptions.js";
import { benchCaller } from "./benchCaller.js";
import { BenchProgram } from "./BenchProgram.js";

const streamCounts = [500, 1000, 1500, 2000];
const stepMs = 500;
const settleMs = 1_500;

interface StreamMemoryResult {
    readonly points: readonly { readonly streams: number; readonly rssMebibytes: number; readonly heapMebibytes: number; }[];
    readonly rssKibibytesPerStream: number;
    readonly heapKibibytesPerStream: number;
}

/** Memory per open stream on a VM: least-squares slope over several stream counts, each measured after a garbage collection. */
export async function measureStreamMemory(): Promise<StreamMemoryResult> {
    const options = { models: [benchCaller.model], maxBatchSize: 10_000, stepMs, naturalAnswerTokens: 1_000_000_000 };
    const engine = BenchProgram.start("engineProgram", options);
    const vm = BenchProgram.start("vmProgram", [(await engine.next("listening")).url], runtimeOptions);
    const { url } = await vm.next("listening");
    const load = BenchProgram.start("loadProgram", {});
    const points: { streams: number; rssMebibytes: number; heapMebibytes: number; }[] = [];
    try {
        let opened = 0;
        for (const streams of streamCounts) {
            await load.ask({ type: "openStreams", url, count: streams - opened }, "opened");
            opened = streams;
            await delay(settleMs);
            const { rssBytes, heapUsedBytes } = await vm.ask({ type: "reportMemory", collectsGarbage: true }, "memory");
            points.push({ streams, rssMebibytes: rssBytes / 2 ** 20, heapMebibytes: heapUsedBytes / 2 ** 20 });
        }
    }
    finally {
        load.stop();
        vm.stop();
        engine.stop();
    }
    return {
        points,
        rssKibibytesPerStream: 1024 * slope(points.map(point => [point.streams, point.rssMebibytes])),
        heapKibibytesPerStream: 1024 * slope(points.map(point => [point.streams, point.heapMebibytes])),
    };
}

function slope(points: readonly (readonly [number, number])[]): number {
    const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
    const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
    const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
    const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
    return covariance / variance;
}
