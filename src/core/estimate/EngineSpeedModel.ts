import { DecayingRegression } from "./DecayingRegression.js";

const decayFactor = 0.995;
const priorCount = 5;

/**
 * Speed of the engines of one pool, learned from observed latencies. The mean inter-token latency (token gap) is modelled as linear in the
 * batch size and the concurrent prefill, the time to first token as linear in the prompt tokens to prefill and the batch size.
 */
export class EngineSpeedModel {
    private readonly tokenGap = new DecayingRegression([10, 0.8, 0.05], [1, 8, 20], priorCount, decayFactor);
    private readonly firstToken = new DecayingRegression([20, 0.06, 1], [1, 500, 8], priorCount, decayFactor);

    /** Learns from a stream: the engine's mean batch size, and prompt tokens prefilled for other requests per token of the stream. */
    observeTokenGap(meanBatchSize: number, prefillTokensPerToken: number, tokenGapMs: number): void {
        this.tokenGap.observe([1, meanBatchSize, prefillTokensPerToken], tokenGapMs);
    }

    /** Learns from a time to first token for which the engine had to prefill about `prefillTokens` prompt tokens. */
    observeFirstToken(prefillTokens: number, batchSize: number, firstTokenMs: number): void {
        this.firstToken.observe([1, prefillTokens, batchSize], firstTokenMs);
    }

    /** Expected inter-token latency at this batch size on an engine without concurrent prefill. */
    gapMs(batchSize: number): number {
        return (this.tokenGap.coefficients[0] as number) + (this.tokenGap.coefficients[1] as number) * batchSize;
    }

    /** Inter-token latency that each request in the batch adds to all others. */
    get gapMsPerRequest(): number {
        return this.tokenGap.coefficients[1] as number;
    }

    /** Time by which the prefill of one prompt token delays the streams of the engine. */
    get gapMsPerPrefillToken(): number {
        return this.tokenGap.coefficients[2] as number;
    }

    /** Expected time to first token when this many prompt tokens are to be prefilled. */
    firstTokenMs(prefillTokens: number, batchSize: number): number {
        const [base, perToken, perRequest] = this.firstToken.coefficients as [number, number, number];
        return base + perToken * prefillTokens + perRequest * batchSize;
    }
}
