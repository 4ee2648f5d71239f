import { DecayingLine } from "./DecayingLine.js";

const keepPerObservation = 0.995;

/** Speed of the engines of one pool, learnt from what is seen: token gap by batch size, first-token time by prompt tokens to read. */
export class EngineSpeedModel {
    private readonly gap = new DecayingLine(12, 0.8, 16, 10, keepPerObservation);
    private readonly firstToken = new DecayingLine(40, 0.1, 2_000, 10, keepPerObservation);

    /** Learns from a stretch of decoding at about this batch size on an engine that is not slow. */
    observeGap(batchSize: number, gapMs: number): void {
        this.gap.observe(batchSize, gapMs);
    }

    /** Learns from a first token that came after the engine had read about this many prompt tokens. */
    observeFirstToken(prefillTokens: number, firstTokenMs: number): void {
        this.firstToken.observe(prefillTokens, firstTokenMs);
    }

    /** Mean time between tokens with this many requests on an engine. */
    gapMs(batchSize: number): number {
        return this.gap.predict(batchSize);
    }

    /** Extra gap that one more request brings to each other one. */
    get gapPerRequestMs(): number {
        return this.gap.slope;
    }

    firstTokenMs(prefillTokens: number): number {
        return this.firstToken.predict(prefillTokens);
    }
}
