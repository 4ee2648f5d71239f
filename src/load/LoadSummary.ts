import type { LatencyHistogram } from "../core/servicelevel/LatencyHistogram.js";

/** What a load run saw of one class. */
export interface LoadSummary {
    readonly serviceClass: string;
    readonly requests: number;
    readonly completedRequests: number;
    /** Share of requests that attained the class's targets; undefined without targets. */
    readonly attainment: number | undefined;
    readonly tokens: number;
    readonly firstToken: LatencyHistogram;
    /** Mean gap of each request. */
    readonly tokenGap: LatencyHistogram;
    readonly total: LatencyHistogram;
    /** Requests by error code, most frequent first. */
    readonly errors: readonly (readonly [string, number])[];
}
