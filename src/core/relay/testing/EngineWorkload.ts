import type { PromptWorkload } from "./PromptWorkload.js";

/** A simulated workload of long prompts and short streams on the engines of one service. */
export interface EngineWorkload {
    readonly seed: number;
    readonly durationSeconds: number;
    readonly engineCount: number;
    readonly vmCount: number;
    /** Factors by which the steps of the engines take longer, assigned to the engines in rotation. */
    readonly slowdownFactors?: readonly number[];
    readonly engine: { readonly slots: number; readonly tokensPerEvent: number; readonly prefixCacheTokens: number; };
    readonly long: PromptWorkload;
    readonly short: PromptWorkload;
}
