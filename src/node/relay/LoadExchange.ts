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

    /** When each VM was last sent samples of the engine speeds, and its incarnation then. */
    private readonly lastSamplesByVm = new Map<string, { readonly incarnation: string | undefined; readonly sentMs: number; }>();

    constructor(private readonly options: LoadExchangeOptions) {}

    start(signal: AbortSignal): void {
        const { links, loadTracker, membership, scheduler } = this.options;
        links.onMessage("loadReport", (from, message) => {
            // Learned speeds come in reports without loads, which say nothing about the loads of their sender.
            if (message.learnedSpeeds === undefined || message.isWhole || message.loads.length > 0) {
                loadTracker.applyReport(from, message.loads, message.isWhole, scheduler.nowMs());
            }
            loadTracker.engineSpeeds?.applySamples(from, message.speeds ?? [], scheduler.nowMs());
            if (message.learnedSpeeds !== undefined) {
                const { service, speeds, prefillSpeed } = message.learnedSpeeds;
                loadTracker.engineSpeeds?.applyAnnounced(service, speeds, prefillSpeed, scheduler.nowMs());
            }
            return undefined;
        }, signal);
        loadTracker.onPendingChanges(() => {
            this.scheduleReport(signal);
        });
        scheduler.every(fullReportIntervalMs, () => {
            loadTracker.evictPeers(scheduler.nowMs(), vm => !membership.members.some(member => member.vm === vm));
            loadTracker.engineSpeeds?.evictObservations(scheduler.nowMs());
            this.reportAll();
            for (const vm of this.lastSamplesByVm.keys()) {
                if (!membership.members.some(member => member.vm === vm)) {
                    this.lastSamplesByVm.delete(vm);
                }
            }
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
        const { membership, scheduler, serviceOf, vm: self } = this.options;
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
            this.send(vm, isWhole, relevantLoads, services);
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

    /**
     * Sends a report, with samples of the engine speeds in a full one. A VM that has had none yet, or has restarted, gets the samples of all
     * engines, and others only those of engines that were observed since, so that a new placement VM knows the speeds within a second or two.
     */
    private send(vm: string, isWhole: boolean, loads: UpstreamLoad[], services: ReadonlySet<string> | undefined): void {
        const { links, loadTracker, membership, scheduler, serviceOf } = this.options;
        if (!isWhole || loadTracker.engineSpeeds === undefined) {
            links.send(vm, { type: "loadReport", isWhole, loads });
            return;
        }
        const nowMs = scheduler.nowMs();
        const incarnation = membership.members.find(member => member.vm === vm)?.incarnation;
        const last = this.lastSamplesByVm.get(vm);
        const sinceMs = last?.incarnation === incarnation ? last?.sentMs ?? -Infinity : -Infinity;
        const isSelected = (id: string): boolean => services === undefined || services.has(serviceOf(id) ?? "");
        const speeds = loadTracker.engineSpeeds.takeSamples(sinceMs, isSelected, nowMs);
        if (links.send(vm, { type: "loadReport", isWhole, loads, ...(speeds.length === 0 ? {} : { speeds }) })) {
            this.lastSamplesByVm.set(vm, { incarnation, sentMs: nowMs });
        }
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
