import type { JobClass } from "./JobClass.js";

/** One request of a workload and what became of it. */
export interface Job {
    readonly id: string;
    readonly jobClass: JobClass;
    readonly customer: string;
    readonly arrivalMs: number;
    readonly zone: string;
    readonly promptTokens: number;
    /** Known to the engine and the clairvoyant alone. */
    readonly outputTokens: number;
    readonly prefixHashes: readonly number[];
    /** Arrived while demand was at the peak of a swing. */
    readonly isPeak: boolean;
    receivedTokens: number;
    firstTokenMs: number | undefined;
    lastTokenMs: number;
    endMs: number | undefined;
    outcome: "open" | "done" | "refused" | "failed";
    /** Streams that were cut off or done again. */
    restarts: number;
    sends: number;
}
