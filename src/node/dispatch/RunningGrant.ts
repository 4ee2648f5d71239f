import type { ProgressReporter } from "../../core/dispatch/ProgressReporter.js";
import type { Ticket } from "../../schema/peer/Ticket.js";

/** A grant in use by a request of this VM. */
export interface RunningGrant {
    readonly grantId: string;
    readonly shard: string;
    readonly upstreamId: string;
    readonly ticket: Ticket;
    readonly startedMs: number;
    /** Dispatcher VMs that count this grant as in flight; each is sent its progress and its end. */
    readonly dispatcherVms: Set<string>;
    readonly preemption: AbortController;
    readonly reporter: ProgressReporter;
}
