/** Speed and memory of the engine fake. */
export const engineProfile = {
    maxBatch: 16,
    stepBaseMs: 8,
    stepPerRequestMs: 0.9,
    prefillMsPerToken: 0.04,
    /** Prompt tokens read in one step, beside the decoding. */
    prefillChunkTokens: 512,
    blockTokens: 256,
    /** Tokens whose keys and values fit in memory: of running and paused requests first, cached prompt blocks in the rest. */
    memoryTokens: 200_000,
    reportPeriodMs: 1_000,
    reportLagMs: 500,
    /** Between VMs, and between a VM and an engine, one way. */
    hopMs: 0.3,
} as const;
