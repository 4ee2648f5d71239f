import type { JobClass } from "./JobClass.js";

/** One request of a workload, with its progress and outcome. */
export interface Job {
    readonly id: string;
    readonly jobClass: JobClass;
    readonly customer: string;
    readonly arrivalMs: number;
    readonly zone: string;
    readonly promptTokens: number;
    /** Known only to the engine and the clairvoyant policy. */
    readonly outputTokens: number;
    readonly prefixHashes: readonly number[];
    /** Whether the job arrived during the peak of a swing. */
    readonly isPeak: boolean;
    receivedTokens: number;
    firstTokenMs: number | undefined;
    lastTokenMs: number;
    endMs: number | undefined;
    outcome: "open" | "done" | "refused" | "failed";
    /** Number of streams that were interrupted after the first token. */
    restarts: number;
    sends: number;
}
