/** Prompt tokens that an engine reads in a millisecond; the sheets of the sites tell it. */
const tokensPerMs = 69.8;
/** Further time for each pair of a token that is read and one before it, in milliseconds for a million; from the site files. */
const msPerMillionPairs = 0.589;
const million = 1_000_000;

/** Time that an engine needs to read `tokens` of a prompt behind `keptTokens` that it still keeps. */
export function estimatePrefillMs(tokens: number, keptTokens: number): number {
    return tokens / tokensPerMs + tokens * (keptTokens + tokens / 2) / million * msPerMillionPairs;
}
