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
    /** Names of the services that calls go to. */
    readonly services: () => readonly string[];
    /** The service of an upstream; undefined when it is gone. */
    readonly serviceOf: (upstreamId: string) => string | undefined;
}

/** Shortest time between two reports when a long prompt was placed, in a fleet whose VMs each place their own calls. */
const urgentPeriodMs = 25;
/** Time between reports of everything else. */
const usualPeriodMs = 100;
/** Time between reports to the VMs that place all calls: they know what they placed, and learn here only what has ended. */
const toPlacingVmMs = 150;
const wholeReportMs = 1_000;

/**
 * Tells the other VMs what this one has in flight on upstreams, and takes in what they tell. A VM with nothing in flight is silent; the board
 * forgets loads of VMs that are.
 */
export class LoadExchange {
    private lastReportMs = -Infinity;
    /** When the next report is due that was planned; undefined when there is none. */
    private plannedMs: number | undefined;

    constructor(private readonly options: LoadExchangeOptions) {}

    start(signal: AbortSignal): void {
        const { links, loadTracker: board, membership, scheduler } = this.options;
        links.onMessage("loadReport", (from, message) => {
            board.applyReport(from, message.loads, message.isWhole, scheduler.nowMs());
            return undefined;
        }, signal);
        board.onPendingChanges(() => {
            this.plan(signal);
        });
        scheduler.every(wholeReportMs, () => {
            board.evictPeers(scheduler.nowMs(), vm => !membership.members.some(member => member.vm === vm));
            this.reportAll();
        }, signal);
    }

    private plan(signal: AbortSignal): void {
        const { loadTracker: board, scheduler } = this.options;
        const nowMs = scheduler.nowMs();
        const periodMs = this.placingVms() !== undefined ? toPlacingVmMs : board.hasUrgentChanges ? urgentPeriodMs : usualPeriodMs;
        const dueMs = Math.max(nowMs, this.lastReportMs + periodMs);
        if (this.plannedMs !== undefined && this.plannedMs <= dueMs) {
            return;
        }
        this.plannedMs = dueMs;
        scheduler.after(dueMs - nowMs, () => {
            if (this.plannedMs === dueMs) {
                this.plannedMs = undefined;
                this.reportChanges();
            }
        }, signal);
    }

    private reportChanges(): void {
        const loads = this.options.loadTracker.takeChanges();
        if (loads !== undefined) {
            this.tell(loads, false);
        }
    }

    private reportAll(): void {
        this.tell(this.options.loadTracker.takeFullReport(), true);
    }

    private tell(loads: UpstreamLoad[], isWhole: boolean): void {
        const { links, membership, scheduler, serviceOf, vm: self } = this.options;
        if (loads.length === 0) {
            return;
        }
        this.lastReportMs = scheduler.nowMs();
        const placing = this.placingVms();
        for (const vm of placing?.keys() ?? membership.members.map(member => member.vm)) {
            const services = placing?.get(vm);
            const told = services === undefined ? loads : loads.filter(([id]) => services.has(serviceOf(id) ?? ""));
            if (vm !== self && told.length > 0) {
                links.send(vm, { type: "loadReport", isWhole, loads: told });
            }
        }
    }

    /** The VMs that place calls for all, with the services that they do it for; undefined when each VM places its own. */
    private placingVms(): ReadonlyMap<string, ReadonlySet<string>> | undefined {
        const { membership, services } = this.options;
        const placing = new Map<string, Set<string>>();
        for (const service of services()) {
            const vm = choosePlacementVm(service, membership.members);
            if (vm !== undefined) {
                placing.set(vm, (placing.get(vm) ?? new Set()).add(service));
            }
        }
        return placing.size === 0 ? undefined : placing;
    }
}
