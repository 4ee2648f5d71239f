import type { DutyReply } from "./DutyReply.js";
import type { HeldDuty } from "./HeldDuty.js";

interface UsageReport {
    /** Number of the window, counted from the start of 1970 in true time. */
    readonly windowIndex: number;
    /** Calls that began to run in the window, by customer. */
    readonly counts: Readonly<Record<string, number>>;
}

interface UpstreamOrder {
    readonly service: string;
    readonly availabilityZone: string;
    /** Whether the order is for upstreams that the platform may take away at short notice. */
    readonly isReclaimable: boolean;
    /** Number of upstreams of this kind that are to run in the zone. */
    readonly count: number;
}

/** The platform's API for calls that only the holder of the lease may make. */
export interface DutyApi {
    reportUsage(report: UsageReport, duty: HeldDuty, signal: AbortSignal): Promise<DutyReply>;
    orderUpstreams(order: UpstreamOrder, duty: HeldDuty, signal: AbortSignal): Promise<DutyReply>;
}
