import type { Job } from "./Job.js";

/** A way of sending jobs to engines. */
export interface Policy {
    /** A job reached its entry VM. */
    arrive(job: Job): void;
    /** Control bytes that all VMs sent. */
    readonly controlBytes: number;
    /** Violated invariants, in words. */
    readonly violations: readonly string[];
}
