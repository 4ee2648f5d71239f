import type { LoadBoard } from "../../core/relay/LoadBoard.js";
import { placingVm } from "../../core/relay/placingVm.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { MembershipService } from "../services/MembershipService.js";
import type { PeerLinks } from "../services/PeerLinks.js";

interface LoadExchangeOptions {
    readonly vm: string;
    readonly board: LoadBoard;
    readonly links: PeerLinks;
    readonly membership: MembershipService;
    readonly scheduler: Scheduler;
    /** Names of the services that calls go to. */
    readonly services: () => readonly string[];
}

/** Shortest time between two reports when a long prompt was placed, in a fleet whose VMs each place their own calls. */
const urgentPeriodMs = 25;
/** Time between reports of everything else. */
const usualPeriodMs = 100;
/** Time between reports to the VMs that place all calls: they know what they placed, and learn here only what has ended. */
const toPlacingVmMs = 150;
const wholeReportMs = 1_000;

/** Tells the other VMs what this one has in flight on upstreams, and takes in what they tell. */
export class LoadExchange {
    private lastReportMs = -Infinity;
    private lastWholeMs = -Infinity;

    constructor(private readonly options: LoadExchangeOptions) {}

    start(signal: AbortSignal): void {
        const { links, board, scheduler } = this.options;
        links.onMessage("loadReport", (from, message) => {
            board.receive(from, message.loads, message.isWhole, scheduler.nowMs());
            return undefined;
        }, signal);
        scheduler.every(urgentPeriodMs, () => {
            this.tick();
        }, signal);
    }

    private tick(): void {
        const { board, scheduler, membership, links } = this.options;
        const nowMs = scheduler.nowMs();
        const isWhole = nowMs - this.lastWholeMs >= wholeReportMs;
        if (!isWhole && !board.hasNews) {
            return;
        }
        const placing = this.placingVms();
        const periodMs = placing !== undefined ? toPlacingVmMs : board.hasUrgentNews ? urgentPeriodMs : usualPeriodMs;
        if (nowMs - this.lastReportMs < periodMs) {
            return;
        }
        const loads = isWhole ? board.wholeReport() : board.takeReport();
        if (isWhole) {
            board.forget(nowMs, vm => !membership.members.some(member => member.vm === vm));
            this.lastWholeMs = nowMs;
        }
        if (loads === undefined || loads.length === 0 && !isWhole) {
            return;
        }
        this.lastReportMs = nowMs;
        for (const vm of placing ?? membership.members.map(member => member.vm)) {
            if (vm !== this.options.vm) {
                links.send(vm, { type: "loadReport", isWhole, loads });
            }
        }
    }

    /** The VMs that place calls for all; undefined when each VM places its own. */
    private placingVms(): ReadonlySet<string> | undefined {
        const { membership, services } = this.options;
        const vms = services().map(service => placingVm(service, membership.members));
        const known = vms.filter(vm => vm !== undefined);
        return known.length === 0 ? undefined : new Set(known);
    }
}
