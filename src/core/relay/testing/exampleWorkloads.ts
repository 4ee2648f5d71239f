import type { EngineWorkload } from "./EngineWorkload.js";
import type { PromptWorkload } from "./PromptWorkload.js";

interface Burst {
    readonly fromMs: number;
    readonly toMs: number;
    readonly factor: number;
}

const engineSlowdownFactors = [1, 1, 1.3];
const longPrompt = { commonTokens: 2_520, subjectTokens: 3_780, ownTokens: 2_890, maxOwnTokens: 39_600 };
const shortPrompt = { commonTokens: 119, subjectTokens: 79, ownTokens: 628, maxOwnTokens: 3_310 };

/** Call rate that varies around `mean` as a sine wave, multiplied during bursts. */
function createCallRate(mean: number, bursts: readonly Burst[]): (nowMs: number) => number {
    return nowMs => {
        const burst = bursts.find(({ fromMs, toMs }) => nowMs >= fromMs && nowMs < toMs)?.factor ?? 1;
        return mean * burst * (1 + 0.55 * Math.sin(2 * Math.PI * nowMs / 15_000));
    };
}

const longBursts: readonly Burst[] = [{ fromMs: 500, toMs: 9_500, factor: 2.1 }, { fromMs: 17_500, toMs: 22_000, factor: 2.2 }];
const shortBursts: readonly Burst[] = [{ fromMs: 11_000, toMs: 16_000, factor: 2.2 }];

/** Engines, VMs and workload of one deployment. In each pair, the first value is for long prompts and the second for short ones. */
interface Deployment {
    readonly engines: number;
    readonly vms: number;
    readonly engine: EngineWorkload["engine"];
    readonly callsPerSecond: readonly [number, number];
    readonly gapTargetMs: readonly [number, number];
    readonly callValues: readonly [number, number];
    readonly subjects: readonly [number, number];
    readonly outputTokens: readonly [number, number];
}

function createPeakWorkload(deployment: Deployment): (seed: number) => EngineWorkload {
    const commonFields = (index: 0 | 1) => ({
        gapTargetMs: deployment.gapTargetMs[index],
        callValue: deployment.callValues[index],
        subjectCount: deployment.subjects[index],
    });
    const long: PromptWorkload = {
        ...commonFields(0),
        targetMs: 600,
        timeoutMs: 5_000,
        callsPerSecond: createCallRate(deployment.callsPerSecond[0], longBursts),
        prompt: { ...longPrompt, outputTokens: deployment.outputTokens[0] },
    };
    const short: PromptWorkload = {
        ...commonFields(1),
        targetMs: 300,
        timeoutMs: 15_000,
        callsPerSecond: createCallRate(deployment.callsPerSecond[1], shortBursts),
        prompt: { ...shortPrompt, outputTokens: deployment.outputTokens[1] },
    };
    return seed => ({
        seed,
        durationSeconds: 33,
        slowdownFactors: engineSlowdownFactors,
        engineCount: deployment.engines,
        vmCount: deployment.vms,
        engine: deployment.engine,
        long,
        short,
    });
}

/**
 * Deployment B: every fourth engine at 0.55 of the nominal speed and the others at 1.2, four zones whose load waves are a quarter of a period
 * apart, so that the load of the whole fleet is steady.
 */
function createUnevenWorkload(seed: number): EngineWorkload {
    const fields = { timeoutMs: 15_000 };
    return {
        seed,
        durationSeconds: 42,
        slowdownFactors: [1 / 0.55, 1 / 1.2, 1 / 1.2, 1 / 1.2],
        engineCount: 63,
        vmCount: 66,
        zoneCount: 4,
        enginesPerZoneTurn: 16,
        zoneLoad: (zone, nowMs) => 1 + 0.55 * Math.sin(2 * Math.PI * (nowMs / 15_000 + zone / 4)),
        engine: { slots: 16, tokensPerEvent: 6, prefixCacheTokens: 200_000, tokensPerMs: 41.4, stepMs: 4.63 },
        long: {
            ...fields,
            targetMs: 615,
            gapTargetMs: 500,
            callValue: 4,
            subjectCount: 900,
            callsPerSecond: () => 115,
            prompt: { ...longPrompt, outputTokens: 54 },
        },
        short: {
            ...fields,
            targetMs: 307,
            gapTargetMs: 300,
            callValue: 1,
            subjectCount: 1_200,
            callsPerSecond: () => 96.6,
            prompt: { ...shortPrompt, outputTokens: 294 },
        },
    };
}

/** Peak workloads of the example deployments: unannounced bursts of long prompts, of short ones, and of long ones again. */
export const exampleWorkloads = {
    uneven: createUnevenWorkload,
    vatukoula: createPeakWorkload({
        engines: 8,
        vms: 7,
        engine: { slots: 64, tokensPerEvent: 4, prefixCacheTokens: 300_000 },
        callsPerSecond: [18.4, 38.8],
        gapTargetMs: [250, 150],
        callValues: [5.9, 1.2],
        subjects: [128, 609],
        outputTokens: [52, 292],
    }),
    maderas: createPeakWorkload({
        engines: 13,
        vms: 9,
        engine: { slots: 48, tokensPerEvent: 5, prefixCacheTokens: 200_000 },
        callsPerSecond: [25, 45],
        gapTargetMs: [300, 200],
        callValues: [5.4, 1.1],
        subjects: [174, 609],
        outputTokens: [50, 290],
    }),
    vatukoulaGrown: createPeakWorkload({
        engines: 78,
        vms: 79,
        engine: { slots: 12, tokensPerEvent: 7, prefixCacheTokens: 220_000 },
        callsPerSecond: [180, 104],
        gapTargetMs: [300, 200],
        callValues: [3.7, 0.77],
        subjects: [1_077, 1_814],
        outputTokens: [52, 291],
    }),
    maderasGrown: createPeakWorkload({
        engines: 42,
        vms: 87,
        engine: { slots: 32, tokensPerEvent: 7, prefixCacheTokens: 200_000 },
        callsPerSecond: [95, 106],
        gapTargetMs: [300, 200],
        callValues: [4.8, 1],
        subjects: [852, 1_237],
        outputTokens: [52, 291],
    }),
};
