import { ScalingPlanner } from "../../core/duties/ScalingPlanner.js";
import type { ServiceDemand } from "../../core/duties/ServiceDemand.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { RelayService } from "../../schema/relay/RelayService.js";
import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";
import { createLogger } from "../logs/createLogger.js";
import type { DutyApi } from "./DutyApi.js";
import type { DutyHolder } from "./DutyHolder.js";
import type { ScalingMetrics } from "./ScalingMetrics.js";

const log = createLogger("scale");

interface ScalingTaskOptions {
    readonly holder: DutyHolder;
    readonly api: Pick<DutyApi, "orderUpstreams">;
    readonly scheduler: Scheduler;
    readonly metrics: ScalingMetrics;
    /** Services of the configuration in force; none before the first. */
    readonly services: () => readonly RelayService[];
    /** All listed upstreams, draining ones included; undefined until the list is known. */
    readonly upstreams: () => readonly RelayUpstream[] | undefined;
    readonly measureDemand: (service: string, signal: AbortSignal) => Promise<ServiceDemand>;
}

/** Short against the time that an upstream takes to start and against the length of a burst, which are several seconds. */
const pollIntervalMs = 500;

/** Orders the upstreams of services with scaling limits, on the VM that holds the lease; on others it only follows the list. */
export class ScalingTask {
    private readonly planners = new Map<string, ScalingPlanner>();
    /** Whether demand is being read or an order is under way: there is one order at a time. */
    private isBusy = false;
    private hasAcquired = false;

    constructor(private readonly options: ScalingTaskOptions) {}

    start(signal: AbortSignal): void {
        const { holder, scheduler, metrics } = this.options;
        metrics.setSource(() => [...this.planners].flatMap(([service, { state }]) => state.map(group => ({ service, ...group }))));
        holder.onAcquired(() => {
            this.hasAcquired = true;
        });
        scheduler.every(pollIntervalMs, () => {
            this.poll(signal);
        }, signal);
    }

    private poll(signal: AbortSignal): void {
        const { scheduler, services, upstreams, holder } = this.options;
        const listed = upstreams();
        if (listed === undefined) {
            return;
        }
        this.updatePlanners(services());
        for (const [service, planner] of this.planners) {
            planner.observe(listed.filter(upstream => upstream.service === service), scheduler.nowMs());
        }
        if (this.isBusy || holder.getHeld() === undefined) {
            return;
        }
        this.isBusy = true;
        void this.act(signal).catch((error: unknown) => {
            log("planning or sending orders failed unexpectedly; retrying at the next poll", { error: String(error) });
        }).finally(() => {
            this.isBusy = false;
        });
    }

    private updatePlanners(services: readonly RelayService[]): void {
        const scaled = new Map(services.flatMap(({ name, scaling }) => scaling === undefined ? [] : [[name, scaling] as const]));
        for (const [name, scaling] of scaled) {
            const planner = this.planners.get(name);
            if (planner === undefined) {
                this.planners.set(name, new ScalingPlanner(scaling));
            }
            else {
                planner.update(scaling);
            }
        }
        for (const name of this.planners.keys()) {
            if (!scaled.has(name)) {
                this.planners.delete(name);
            }
        }
    }

    private async act(signal: AbortSignal): Promise<void> {
        const { scheduler, measureDemand, metrics } = this.options;
        if (this.hasAcquired) {
            this.hasAcquired = false;
            for (const [service, planner] of this.planners) {
                planner.takeOver(scheduler.nowMs());
                log("ordering upstreams from now on, starting from those that are listed", { service, state: planner.state });
            }
        }
        for (const [service, planner] of this.planners) {
            const demand = await measureDemand(service, signal);
            metrics.recordDemandReading(service, demand.isComplete);
            planner.recordDemand(demand, scheduler.nowMs());
            await this.sendOrders(service, planner, signal);
        }
    }

    private async sendOrders(service: string, planner: ScalingPlanner, signal: AbortSignal): Promise<void> {
        const { holder, api, scheduler, metrics } = this.options;
        for (;;) {
            const duty = holder.getHeld();
            // An acquisition while the last order was under way means that another VM may have ordered meanwhile.
            const order = duty === undefined || this.hasAcquired || signal.aborted ? undefined : planner.nextOrder(scheduler.nowMs());
            if (duty === undefined || order === undefined) {
                return;
            }
            const kind = order.isReclaimable ? "reclaimable" : "ordinary";
            const sentMs = scheduler.nowMs();
            const reply = await api.orderUpstreams({ service, ...order }, duty, AbortSignal.any([signal, duty.signal]));
            const nowMs = scheduler.nowMs();
            planner.recordReply(order, reply, nowMs);
            metrics.recordOrder(service, kind, reply);
            log("upstreams ordered", {
                service,
                zone: order.availabilityZone,
                kind,
                count: order.count,
                reply,
                durationMs: Math.round(nowMs - sentMs),
                fencingNumber: duty.fencingNumber,
            });
        }
    }
}
