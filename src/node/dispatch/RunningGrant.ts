import type { ProgressReporter } from "../../core/dispatch/ProgressReporter.js";
import type { Ticket } from "../../schema/peer/Ticket.js";

/** A grant that a request of this VM is using. */
export interface RunningGrant {
    readonly grantId: string;
    readonly shard: string;
    readonly upstreamId: string;
    readonly ticket: Ticket;
    readonly startedMs: number;
    /** VMs that count this grant as in flight and must hear of its end. */
    readonly dispatcherVms: Set<string>;
    readonly preemption: AbortController;
    readonly reporter: ProgressReporter;
}
