/** Speed and memory of a simulated engine. */
export const engineProfile = {
    maxBatch: 16,
    stepBaseMs: 8,
    stepPerRequestMs: 0.9,
    prefillMsPerToken: 0.04,
    /** Tokens prefilled in one step, in addition to decoding. */
    prefillChunkTokens: 512,
    blockTokens: 256,
    /** KV cache capacity in tokens. Running and paused requests take precedence; cached prompt blocks use the rest. */
    memoryTokens: 200_000,
    reportIntervalMs: 1_000,
    reportDelayMs: 500,
    /** One-way delay between VMs, and between a VM and an engine. */
    oneWayDelayMs: 0.3,
} as const;
