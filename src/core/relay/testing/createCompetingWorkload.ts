import type { CompetingWorkload } from "./CompetingWorkload.js";

/** Load of the deployment with competing callers: a wave of 27% with a period of 11 s, bursts of long prompts and a hot customer. */
export function createCompetingWorkload(seed: number, engineCount = 42): CompetingWorkload {
    const wave = (nowMs: number) => 1 + 0.27 * Math.sin(2 * Math.PI * nowMs / 11_000);
    const burst = (nowMs: number) => nowMs >= 15_000 && nowMs < 24_000 ? 2.8 : nowMs >= 48_000 && nowMs < 54_000 ? 2.3 : 1;
    return {
        seed,
        durationMs: 73_000,
        loadEndMs: 60_000,
        engineCount,
        slowdownFactor: 2.5,
        engine: { slots: 32, tokensPerEvent: 7, prefixCacheTokens: 200_000, tokensPerMs: 112, stepMs: 3.41, prefillChunkTokens: 4_096 },
        hot: { customer: 1, fromMs: 34_000, untilMs: 40_500, factor: 7.5 },
        long: {
            callsPerSecond: nowMs => 170 * wave(nowMs) * burst(nowMs),
            targetMs: 415,
            gapTargetMs: 300,
            timeLimitMs: 4_151,
            callValue: 1.6,
            tier: 1,
            subjectCount: 852,
            prompt: { commonTokens: 2_520, subjectTokens: 3_780, ownTokens: 2_890, maxOwnTokens: 39_600, outputTokens: 52 },
        },
        short: {
            callsPerSecond: nowMs => 158 * wave(nowMs),
            targetMs: 257,
            gapTargetMs: 200,
            timeLimitMs: 12_313,
            callValue: 3.5,
            tier: 0,
            subjectCount: 1_237,
            prompt: { commonTokens: 119, subjectTokens: 79, ownTokens: 628, maxOwnTokens: 3_310, outputTokens: 291 },
        },
    };
}
