import type { JobClass } from "./JobClass.js";

/** Demand, engines and faults of one benchmark run. Demand is a multiple of the engines' capacity for the base mix. */
export interface Workload {
    readonly name: string;
    readonly zones: readonly string[];
    readonly engineCount: number;
    readonly vmCount: number;
    readonly classes: readonly JobClass[];
    readonly durationMs: number;
    readonly baseLoad: number;
    /** Periods with the demand `load`; if `onlyClass` is set, only the demand of that class changes. */
    readonly swings: readonly {
        readonly fromMs: number;
        readonly toMs: number;
        readonly load: number;
        readonly onlyClass?: string;
        /** Whether top-tier demand alone exceeds the capacity. */
        readonly exceedsTopTier?: boolean;
    }[];
    readonly slowdowns: readonly {
        readonly fromMs: number;
        readonly toMs: number;
        readonly engines: readonly number[];
        readonly factor: number;
    }[];
    readonly crashes: readonly { readonly fromMs: number; readonly toMs: number; readonly engine: number; }[];
    /** Periods in which a zone is cut off from all others. */
    readonly cuts: readonly { readonly fromMs: number; readonly toMs: number; readonly zone: string; }[];
}
