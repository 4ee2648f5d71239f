/** Speed and memory of the engine fake. */
export const engineProfile = {
    maxBatch: 16,
    stepBaseMs: 8,
    stepPerRequestMs: 0.9,
    prefillMsPerToken: 0.04,
    /** Prompt tokens read in one step, beside the decoding. */
    prefillChunkTokens: 512,
    blockTokens: 256,
    /** Prompt blocks that fit in the cache. */
    cacheBlocks: 600,
    reportPeriodMs: 1_000,
    reportLagMs: 500,
    /** Between VMs, and between a VM and an engine, one way. */
    hopMs: 0.3,
} as const;
