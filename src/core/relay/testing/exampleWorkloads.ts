import type { EngineWorkload } from "./EngineWorkload.js";
import type { PromptWorkload } from "./PromptWorkload.js";

interface Burst {
    readonly fromMs: number;
    readonly toMs: number;
    readonly factor: number;
}

const speeds = [1, 1, 1.3];
const longPrompt = { commonTokens: 2_520, subjectTokens: 3_780, ownTokens: 2_890, maxOwnTokens: 39_600 };
const shortPrompt = { commonTokens: 119, subjectTokens: 79, ownTokens: 628, maxOwnTokens: 3_310 };

/** Calls a second that swing by half around `mean`, with bursts. */
function wave(mean: number, bursts: readonly Burst[]): (nowMs: number) => number {
    return nowMs => {
        const burst = bursts.find(({ fromMs, toMs }) => nowMs >= fromMs && nowMs < toMs)?.factor ?? 1;
        return mean * burst * (1 + 0.55 * Math.sin(2 * Math.PI * nowMs / 15_000));
    };
}

const longBursts: readonly Burst[] = [{ fromMs: 500, toMs: 9_500, factor: 2.1 }, { fromMs: 17_500, toMs: 22_000, factor: 2.2 }];
const shortBursts: readonly Burst[] = [{ fromMs: 11_000, toMs: 16_000, factor: 2.2 }];

/** What one site has. Rates, gaps and subjects of long prompts come first, those of short ones second. */
interface Site {
    readonly engines: number;
    readonly vms: number;
    readonly engine: EngineWorkload["engine"];
    readonly perSecond: readonly [number, number];
    readonly gapTargetMs: readonly [number, number];
    readonly worth: readonly [number, number];
    readonly subjects: readonly [number, number];
    readonly outputTokens: readonly [number, number];
}

function heavyDay(site: Site): (seed: number) => EngineWorkload {
    const kind = (index: 0 | 1) => ({
        gapTargetMs: site.gapTargetMs[index],
        callValue: site.worth[index],
        subjects: site.subjects[index],
    });
    const long: PromptWorkload = {
        ...kind(0),
        targetMs: 600,
        timeoutMs: 5_000,
        callsPerSecond: wave(site.perSecond[0], longBursts),
        prompt: { ...longPrompt, outputTokens: site.outputTokens[0] },
    };
    const short: PromptWorkload = {
        ...kind(1),
        targetMs: 300,
        timeoutMs: 15_000,
        callsPerSecond: wave(site.perSecond[1], shortBursts),
        prompt: { ...shortPrompt, outputTokens: site.outputTokens[1] },
    };
    return seed => ({ seed, seconds: 33, slowdownFactors: speeds, engines: site.engines, vms: site.vms, engine: site.engine, long, short });
}

/** A heavy day of each of the users' sites: bursts of one kind after the other, of which none is announced. */
export const exampleWorkloads = {
    vatukoula: heavyDay({
        engines: 8,
        vms: 7,
        engine: { slots: 64, tokensPerEvent: 4, prefixCacheTokens: 300_000 },
        perSecond: [18.4, 38.8],
        gapTargetMs: [250, 150],
        worth: [5.9, 1.2],
        subjects: [128, 609],
        outputTokens: [52, 292],
    }),
    maderas: heavyDay({
        engines: 13,
        vms: 9,
        engine: { slots: 48, tokensPerEvent: 5, prefixCacheTokens: 200_000 },
        perSecond: [25, 45],
        gapTargetMs: [300, 200],
        worth: [5.4, 1.1],
        subjects: [174, 609],
        outputTokens: [50, 290],
    }),
    vatukoulaGrown: heavyDay({
        engines: 78,
        vms: 79,
        engine: { slots: 12, tokensPerEvent: 7, prefixCacheTokens: 220_000 },
        perSecond: [180, 104],
        gapTargetMs: [300, 200],
        worth: [3.7, 0.77],
        subjects: [1_077, 1_814],
        outputTokens: [52, 291],
    }),
    maderasGrown: heavyDay({
        engines: 42,
        vms: 87,
        engine: { slots: 32, tokensPerEvent: 7, prefixCacheTokens: 200_000 },
        perSecond: [95, 106],
        gapTargetMs: [300, 200],
        worth: [4.8, 1],
        subjects: [852, 1_237],
        outputTokens: [52, 291],
    }),
};
