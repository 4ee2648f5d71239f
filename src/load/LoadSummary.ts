import type { LatencyHistogram } from "../core/servicelevel/LatencyHistogram.js";

/** Results of a load run for one class. */
export interface LoadSummary {
    readonly serviceClass: string;
    readonly requests: number;
    readonly completedRequests: number;
    /** Share of requests that met the targets of the class, 0 to 1; undefined without targets. */
    readonly attainment: number | undefined;
    readonly tokens: number;
    readonly firstToken: LatencyHistogram;
    /** Mean token gap of each request. */
    readonly tokenGap: LatencyHistogram;
    readonly total: LatencyHistogram;
    /** Number of incomplete requests by error code, most frequent first. */
    readonly errors: readonly (readonly [string, number])[];
}
