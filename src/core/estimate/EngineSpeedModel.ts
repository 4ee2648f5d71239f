import { DecayingRegression } from "./DecayingRegression.js";

const keepPerObservation = 0.995;
const priorCount = 5;

/**
 * Speed of the engines of one pool, learnt from what is seen. The mean gap between tokens is a line in the batch size plus what reading
 * other prompts takes; the first-token time is a line in the prompt tokens to read and the batch size.
 */
export class EngineSpeedModel {
    private readonly gap = new DecayingRegression([10, 0.8, 0.05], [1, 8, 20], priorCount, keepPerObservation);
    private readonly firstToken = new DecayingRegression([20, 0.06, 1], [1, 500, 8], priorCount, keepPerObservation);

    /** Learns from a stream of one engine: its mean batch size, and prompt tokens read for others for each of its own tokens. */
    observeTokenGap(meanBatchSize: number, readTokensPerToken: number, predictTokenGapMs: number): void {
        this.gap.observe([1, meanBatchSize, readTokensPerToken], predictTokenGapMs);
    }

    /** Learns from a first token that came after the engine had read about this many prompt tokens. */
    observeFirstToken(prefillTokens: number, batchSize: number, predictFirstTokenMs: number): void {
        this.firstToken.observe([1, prefillTokens, batchSize], predictFirstTokenMs);
    }

    /** Mean time between tokens with this many requests on an engine that reads no prompts meanwhile. */
    gapMs(batchSize: number): number {
        return (this.gap.coefficients[0] as number) + (this.gap.coefficients[1] as number) * batchSize;
    }

    /** Extra gap that one more request brings to each other one. */
    get gapMsPerRequest(): number {
        return this.gap.coefficients[1] as number;
    }

    /** Time that reading one prompt token takes from the streams of the engine. */
    get gapMsPerPrefillToken(): number {
        return this.gap.coefficients[2] as number;
    }

    firstTokenMs(prefillTokens: number, batchSize: number): number {
        const [base, perToken, perRequest] = this.firstToken.coefficients as [number, number, number];
        return base + perToken * prefillTokens + perRequest * batchSize;
    }
}
