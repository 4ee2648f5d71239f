import type { EngineLoad } from "./EngineLoad.js";
import type { KindLoad } from "./KindLoad.js";

interface Burst {
    readonly fromMs: number;
    readonly toMs: number;
    readonly factor: number;
}

const speeds = [1, 1, 1.3];
const longPrompt = { commonTokens: 2_520, subjectTokens: 3_780, ownTokens: 2_890, maxOwnTokens: 39_600 };
const shortPrompt = { commonTokens: 119, subjectTokens: 79, ownTokens: 628, maxOwnTokens: 3_310 };

const longKind = {
    targetMs: 600,
    timeoutMs: 5_000,
} satisfies Partial<KindLoad>;
const shortKind = { targetMs: 300, timeoutMs: 15_000 } satisfies Partial<KindLoad>;

/** Calls a second that swing by half around `mean`, with bursts. */
function wave(mean: number, bursts: readonly Burst[]): (nowMs: number) => number {
    return nowMs => {
        const burst = bursts.find(({ fromMs, toMs }) => nowMs >= fromMs && nowMs < toMs)?.factor ?? 1;
        return mean * burst * (1 + 0.55 * Math.sin(2 * Math.PI * nowMs / 15_000));
    };
}

const longBursts: readonly Burst[] = [{ fromMs: 500, toMs: 9_500, factor: 2.1 }, { fromMs: 17_500, toMs: 22_000, factor: 2.2 }];
const shortBursts: readonly Burst[] = [{ fromMs: 11_000, toMs: 16_000, factor: 2.2 }];

/** A heavy day of one of the users' sites: bursts of one kind after the other, of which none is announced. */
export const exampleLoads = {
    vatukoula: (seed: number): EngineLoad => ({
        seed,
        seconds: 33,
        engines: 8,
        vms: 7,
        speeds,
        engine: { slots: 64, tokensPerEvent: 4, keptTokens: 300_000 },
        long: {
            ...longKind,
            perSecond: wave(18.4, longBursts),
            gapTargetMs: 250,
            worth: 5.9,
            subjects: 128,
            prompt: { ...longPrompt, outputTokens: 52 },
        },
        short: {
            ...shortKind,
            perSecond: wave(38.8, shortBursts),
            gapTargetMs: 150,
            worth: 1.2,
            subjects: 609,
            prompt: { ...shortPrompt, outputTokens: 292 },
        },
    }),
    maderas: (seed: number): EngineLoad => ({
        seed,
        seconds: 33,
        engines: 13,
        vms: 9,
        speeds,
        engine: { slots: 48, tokensPerEvent: 5, keptTokens: 200_000 },
        long: {
            ...longKind,
            perSecond: wave(25, longBursts),
            gapTargetMs: 300,
            worth: 5.4,
            subjects: 174,
            prompt: { ...longPrompt, outputTokens: 50 },
        },
        short: {
            ...shortKind,
            perSecond: wave(45, shortBursts),
            gapTargetMs: 200,
            worth: 1.1,
            subjects: 609,
            prompt: { ...shortPrompt, outputTokens: 290 },
        },
    }),
    vatukoulaGrown: (seed: number): EngineLoad => ({
        seed,
        seconds: 33,
        engines: 78,
        vms: 79,
        speeds,
        engine: { slots: 12, tokensPerEvent: 7, keptTokens: 220_000 },
        long: {
            ...longKind,
            perSecond: wave(180, longBursts),
            gapTargetMs: 300,
            worth: 3.7,
            subjects: 1_077,
            prompt: { ...longPrompt, outputTokens: 52 },
        },
        short: {
            ...shortKind,
            perSecond: wave(104, shortBursts),
            gapTargetMs: 200,
            worth: 0.77,
            subjects: 1_814,
            prompt: { ...shortPrompt, outputTokens: 291 },
        },
    }),
    maderasGrown: (seed: number): EngineLoad => ({
        seed,
        seconds: 33,
        engines: 42,
        vms: 87,
        speeds,
        engine: { slots: 32, tokensPerEvent: 7, keptTokens: 200_000 },
        long: {
            ...longKind,
            perSecond: wave(95, longBursts),
            gapTargetMs: 300,
            worth: 4.8,
            subjects: 852,
            prompt: { ...longPrompt, outputTokens: 52 },
        },
        short: {
            ...shortKind,
            perSecond: wave(106, shortBursts),
            gapTargetMs: 200,
            worth: 1,
            subjects: 1_237,
            prompt: { ...shortPrompt, outputTokens: 291 },
        },
    }),
};
