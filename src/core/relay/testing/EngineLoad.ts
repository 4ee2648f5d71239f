import type { KindLoad } from "./KindLoad.js";

/** A load of long prompts and short streams on the engines of one service. */
export interface EngineLoad {
    readonly seed: number;
    readonly seconds: number;
    readonly engines: number;
    readonly vms: number;
    /** What multiplies the time of each step, in turn over the engines. */
    readonly speeds?: readonly number[];
    readonly engine: { readonly slots: number; readonly tokensPerEvent: number; readonly keptTokens: number; };
    readonly long: KindLoad;
    readonly short: KindLoad;
}
