import { choosePlacementVm } from "../../core/relay/choosePlacementVm.js";
import type { UpstreamLoadTracker } from "../../core/relay/UpstreamLoadTracker.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { UpstreamLoad } from "../../schema/relay/UpstreamLoad.js";
import type { MembershipService } from "../services/MembershipService.js";
import type { PeerLinks } from "../services/PeerLinks.js";

interface LoadExchangeOptions {
    readonly vm: string;
    readonly loadTracker: UpstreamLoadTracker;
    readonly links: PeerLinks;
    readonly membership: MembershipService;
    readonly scheduler: Scheduler;
    /** Names of the services to which calls are routed. */
    readonly services: () => readonly string[];
    /** Service of an upstream; undefined when the upstream is gone. */
    readonly serviceOf: (upstreamId: string) => string | undefined;
}

/** Shortest interval between reports after a long prompt was placed, in a fleet whose VMs each place their own calls. */
const urgentReportIntervalMs = 25;
/** Shortest interval between other reports in such a fleet. */
const reportIntervalMs = 100;
/** Shortest interval between reports to placement VMs: they count the calls that they place, and need reports only of calls that ended. */
const placementVmReportIntervalMs = 150;
const fullReportIntervalMs = 1_000;

/**
 * Reports this VM's calls in flight on upstreams to the other VMs, and applies their reports. A VM reports the end of its last call once and
 * then sends no reports; the load tracker evicts the loads of VMs that have stopped reporting.
 */
export class LoadExchange {
    private lastReportMs = -Infinity;
    /** Time of the scheduled report; undefined when none is scheduled. */
    private scheduledReportMs: number | undefined;
    /** Upstreams on which a VM counts calls of this one after the last report to it; VMs that count none are not contained. */
    private countedIdsByVm = new Map<string, Set<string>>();

    constructor(private readonly options: LoadExchangeOptions) {}

    start(signal: AbortSignal): void {
        const { links, loadTracker, membership, scheduler } = this.options;
        links.onMessage("loadReport", (from, message) => {
            loadTracker.applyReport(from, message.loads, message.isWhole, scheduler.nowMs());
            return undefined;
        }, signal);
        loadTracker.onPendingChanges(() => {
            this.scheduleReport(signal);
        });
        scheduler.every(fullReportIntervalMs, () => {
            loadTracker.evictPeers(scheduler.nowMs(), vm => !membership.members.some(member => member.vm === vm));
            this.reportAll();
        }, signal);
    }

    private scheduleReport(signal: AbortSignal): void {
        const { loadTracker, scheduler } = this.options;
        const nowMs = scheduler.nowMs();
        const intervalMs = this.groupServicesByPlacementVm() !== undefined
            ? placementVmReportIntervalMs
            : loadTracker.hasUrgentChanges
            ? urgentReportIntervalMs
            : reportIntervalMs;
        const dueMs = Math.max(nowMs, this.lastReportMs + intervalMs);
        if (this.scheduledReportMs !== undefined && this.scheduledReportMs <= dueMs) {
            return;
        }
        this.scheduledReportMs = dueMs;
        scheduler.after(dueMs - nowMs, () => {
            if (this.scheduledReportMs === dueMs) {
                this.scheduledReportMs = undefined;
                this.reportChanges();
            }
        }, signal);
    }

    private reportChanges(): void {
        const loads = this.options.loadTracker.takeChanges();
        if (loads !== undefined) {
            this.sendReport(loads, false);
        }
    }

    private reportAll(): void {
        this.sendReport(this.options.loadTracker.takeFullReport(), true);
    }

    private sendReport(loads: UpstreamLoad[], isWhole: boolean): void {
        const { links, membership, scheduler, serviceOf, vm: self } = this.options;
        if (loads.length === 0 && this.countedIdsByVm.size === 0) {
            return;
        }
        this.lastReportMs = scheduler.nowMs();
        const servicesByPlacementVm = this.groupServicesByPlacementVm();
        const countedIdsByVm = isWhole ? new Map<string, Set<string>>() : this.countedIdsByVm;
        for (const vm of servicesByPlacementVm?.keys() ?? membership.members.map(member => member.vm)) {
            const services = servicesByPlacementVm?.get(vm);
            const relevantLoads = services === undefined ? loads : loads.filter(([id]) => services.has(serviceOf(id) ?? ""));
            // Calls on an upstream that was removed are on no list; an empty full report ends them.
            if (vm === self || relevantLoads.length === 0 && !(isWhole && this.countedIdsByVm.has(vm))) {
                continue;
            }
            links.send(vm, { type: "loadReport", isWhole, loads: relevantLoads });
            const countedIds = countedIdsByVm.get(vm) ?? new Set();
            for (const [id, calls] of relevantLoads) {
                if (calls > 0) {
                    countedIds.add(id);
                }
                else {
                    countedIds.delete(id);
                }
            }
            if (countedIds.size > 0) {
                countedIdsByVm.set(vm, countedIds);
            }
            else {
                countedIdsByVm.delete(vm);
            }
        }
        this.countedIdsByVm = countedIdsByVm;
    }

    /** Placement VMs with the services whose calls they place; undefined when each VM places its own calls. */
    private groupServicesByPlacementVm(): ReadonlyMap<string, ReadonlySet<string>> | undefined {
        const { membership, services } = this.options;
        const servicesByPlacementVm = new Map<string, Set<string>>();
        for (const service of services()) {
            const vm = choosePlacementVm(service, membership.members);
            if (vm !== undefined) {
                servicesByPlacementVm.set(vm, (servicesByPlacementVm.get(vm) ?? new Set()).add(service));
            }
        }
        return servicesByPlacementVm.size === 0 ? undefined : servicesByPlacementVm;
    }
}
