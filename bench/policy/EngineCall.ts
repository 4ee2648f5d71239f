import type { Job } from "./Job.js";

/** One stream on a simulated engine. */
export interface EngineCall {
    readonly job: Job;
    /** Lower values are more urgent; 0 is the most urgent. */
    readonly priority: number;
    /** Output tokens that earlier streams of the job have already delivered. */
    readonly resumedTokens: number;
    readonly onToken: () => void;
    readonly onEnd: (result: "completed" | "broken") => void;
    /** Tokens left to prefill; set when the engine admits the call. */
    pendingPrefillTokens: number;
    prefilledTokens: number;
    /** Tokens whose KV cache was evicted while the call was paused and that have to be computed again. */
    recomputedTokens: number;
    /** Whether the call was removed from the batch while its KV cache is still held. */
    isPaused: boolean;
    generatedTokens: number;
}
