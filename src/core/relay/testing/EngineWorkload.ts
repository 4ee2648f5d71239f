import type { PromptWorkload } from "./PromptWorkload.js";

/** A simulated workload of long prompts and short streams on the engines of one service. */
export interface EngineWorkload {
    readonly seed: number;
    readonly durationSeconds: number;
    readonly engineCount: number;
    readonly vmCount: number;
    /** Factors by which the steps of the engines take longer, assigned to the engines in rotation. */
    readonly slowdownFactors?: readonly number[];
    readonly engine: {
        readonly slots: number;
        readonly tokensPerEvent: number;
        readonly prefixCacheTokens: number;
        readonly tokensPerMs?: number;
        readonly stepMs?: number;
    };
    /** Number of availability zones; 3 when omitted. */
    readonly zoneCount?: number;
    /** Engines of a zone that follow each other before the next zone; 1 when omitted. */
    readonly enginesPerZoneTurn?: number;
    /** Load of a zone's VMs relative to the mean, up to 2; 1 when omitted. */
    readonly zoneLoad?: (zone: number, nowMs: number) => number;
    readonly long: PromptWorkload;
    readonly short: PromptWorkload;
}
