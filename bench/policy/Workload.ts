import type { JobClass } from "./JobClass.js";

/** Demand, engines and faults of one benchmark run. Demand is in multiples of what the engines can do in the usual mix. */
export interface Workload {
    readonly name: string;
    readonly zones: readonly string[];
    readonly engineCount: number;
    readonly vmCount: number;
    readonly classes: readonly JobClass[];
    readonly durationMs: number;
    readonly baseLoad: number;
    /** Demand is multiplied for a while; `onlyClass` alone grows when it is set. */
    readonly swings: readonly {
        readonly fromMs: number;
        readonly toMs: number;
        readonly load: number;
        readonly onlyClass?: string;
        /** Top-tier demand alone does not fit. */
        readonly exceedsTopTier?: boolean;
    }[];
    readonly slowdowns: readonly {
        readonly fromMs: number;
        readonly toMs: number;
        readonly engines: readonly number[];
        readonly factor: number;
    }[];
    readonly crashes: readonly { readonly fromMs: number; readonly toMs: number; readonly engine: number; }[];
    /** The zone is cut off from the others. */
    readonly cuts: readonly { readonly fromMs: number; readonly toMs: number; readonly zone: string; }[];
}
