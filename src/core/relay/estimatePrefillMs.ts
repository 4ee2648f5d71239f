/** Prompt tokens that an engine prefills per millisecond, excluding attention; from the engine specifications of the deployments. */
const tokensPerMs = 69.8;
/** Additional attention time for each million pairs of a prefilled token and a token before it; from the same specifications. */
const attentionMsPerMillionPairs = 0.589;
const million = 1_000_000;

/** Estimates the time that an engine needs to prefill `tokens` of a prompt after `cachedTokens` in its prefix cache. */
export function estimatePrefillMs(tokens: number, cachedTokens: number): number {
    return tokens / tokensPerMs + tokens * (cachedTokens + tokens / 2) / million * attentionMsPerMillionPairs;
}
