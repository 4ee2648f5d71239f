import { DecayingRegression } from "./DecayingRegression.js";

const decayFactor = 0.995;
const priorCount = 5;

/**
 * Speed of the engines of one shard, learned from observed latencies. The mean token gap is modelled as linear in the batch size and the
 * concurrent prefill, the time to first token as linear in the prompt tokens to prefill and the batch size.
 */
export class EngineSpeedModel {
    /** Features: constant, batch size, prefill tokens per output token. Arguments: prior coefficients in ms, typical feature magnitudes. */
    private readonly tokenGap = new DecayingRegression([10, 0.8, 0.05], [1, 8, 20], priorCount, decayFactor);
    /** Features: constant, prompt tokens to prefill, batch size. Arguments as for `tokenGap`. */
    private readonly firstToken = new DecayingRegression([20, 0.06, 1], [1, 500, 8], priorCount, decayFactor);

    /**
     * Learns from the mean token gap of a stream. `meanBatchSize` is the engine's mean batch size during the stream, `prefillTokensPerToken`
     * the number of prompt tokens that it prefilled for other requests per output token of the stream.
     */
    observeTokenGap(meanBatchSize: number, prefillTokensPerToken: number, tokenGapMs: number): void {
        this.tokenGap.observe([1, meanBatchSize, prefillTokensPerToken], tokenGapMs);
    }

    /** Learns from a time to first token for which the engine had to prefill about `prefillTokens` prompt tokens. */
    observeFirstToken(prefillTokens: number, batchSize: number, firstTokenMs: number): void {
        this.firstToken.observe([1, prefillTokens, batchSize], firstTokenMs);
    }

    /** Expected token gap at this batch size on an engine without concurrent prefill. */
    gapMs(batchSize: number): number {
        return (this.tokenGap.coefficients[0] as number) + (this.tokenGap.coefficients[1] as number) * batchSize;
    }

    /** Token gap that each request in the batch adds to that of all others. */
    get gapMsPerRequest(): number {
        return this.tokenGap.coefficients[1] as number;
    }

    /** Delay that the prefill of one prompt token adds to each other stream of the engine. */
    get gapMsPerPrefillToken(): number {
        return this.tokenGap.coefficients[2] as number;
    }

    /** Expected time to first token when this many prompt tokens are to be prefilled. */
    firstTokenMs(prefillTokens: number, batchSize: number): number {
        const [base, perToken, perRequest] = this.firstToken.coefficients as [number, number, number];
        return base + perToken * prefillTokens + perRequest * batchSize;
    }
}
