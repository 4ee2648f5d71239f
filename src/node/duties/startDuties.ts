import { randomUUID } from "node:crypto";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { Metrics } from "../metrics/Metrics.js";
import type { RelayVmOptions } from "../relay/RelayVmOptions.js";
import type { DutyApi } from "./DutyApi.js";
import type { DutyContext } from "./DutyContext.js";
import { DutyLease } from "./DutyLease.js";
import type { DutyReply } from "./DutyReply.js";

type Duties = NonNullable<RelayVmOptions["duties"]>;

/** Starts the task of one duty; everything that it owns ends when the signal aborts. */
type StartDutyTask = (context: DutyContext, signal: AbortSignal) => void;

interface StartDutiesOptions {
    readonly vm: string;
    readonly incarnation: string;
    readonly scheduler: Scheduler;
    readonly duties: Duties;
    readonly metrics: Metrics;
    /** Zero-based rank of this VM for the duties. */
    readonly rank: () => number;
    /** Task of the duty `usage`; started on every VM if the duty is listed. */
    readonly startUsage?: StartDutyTask;
    /** Task of the duty `scale`; started on every VM if the duty is listed. */
    readonly startScaling?: StartDutyTask;
}

/** Starts the lease on the fleet's duties and the tasks of the duties that are listed; ends them and releases the lease on abort. */
export function startDuties(options: StartDutiesOptions, signal: AbortSignal): void {
    const { vm, incarnation, scheduler, duties, metrics } = options;
    const lease = new DutyLease({
        vm,
        incarnation,
        store: duties.store,
        leaseMs: duties.leaseMs,
        scheduler,
        rank: options.rank,
        uniqueId: randomUUID,
    });
    metrics.registerGauge("duty_lease_held", "Whether this VM may act on the lease on the fleet's duties.", () => lease.getHeld() ? 1 : 0);
    metrics.registerGauge(
        "duty_fencing_number",
        "Fencing number of the lease on the fleet's duties; 0 on a VM that does not hold it.",
        () => lease.getHeld()?.fencingNumber ?? 0,
    );
    const context = { lease, api: countCalls(duties.api, metrics), duties };
    if (duties.names.includes("usage")) {
        options.startUsage?.(context, signal);
    }
    if (duties.names.includes("scale")) {
        options.startScaling?.(context, signal);
    }
    lease.start(signal);
}

function countCalls(api: DutyApi, metrics: Metrics): DutyApi {
    const calls = metrics.createCounter("duty_calls_total", "Calls of duties to the platform's API, by reply.", ["call", "reply"]);
    const count = async (call: string, reply: Promise<DutyReply>): Promise<DutyReply> => {
        calls.inc({ call, reply: await reply });
        return reply;
    };
    return {
        reportUsage: (...args) => count("usage", api.reportUsage(...args)),
        orderUpstreams: (...args) => count("scale", api.orderUpstreams(...args)),
    };
}
