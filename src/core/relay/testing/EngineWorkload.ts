import type { PromptWorkload } from "./PromptWorkload.js";

/** A load of long prompts and short streams on the engines of one service. */
export interface EngineWorkload {
    readonly seed: number;
    readonly seconds: number;
    readonly engines: number;
    readonly vms: number;
    /** What multiplies the time of each step, in turn over the engines. */
    readonly slowdownFactors?: readonly number[];
    readonly engine: { readonly slots: number; readonly tokensPerEvent: number; readonly prefixCacheTokens: number; };
    readonly long: PromptWorkload;
    readonly short: PromptWorkload;
}
