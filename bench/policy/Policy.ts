import type { Job } from "./Job.js";

/** Strategy that sends jobs to engines. */
export interface Policy {
    /** Handles a job that arrived at its entry VM. */
    arrive(job: Job): void;
    /** Bytes of control messages sent by all VMs. */
    readonly controlBytes: number;
    /** One message per invariant violation. */
    readonly violations: readonly string[];
}
