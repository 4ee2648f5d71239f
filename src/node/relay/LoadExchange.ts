import type { LoadBoard } from "../../core/relay/LoadBoard.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { MembershipService } from "../services/MembershipService.js";
import type { PeerLinks } from "../services/PeerLinks.js";

interface LoadExchangeOptions {
    readonly vm: string;
    readonly board: LoadBoard;
    readonly links: PeerLinks;
    readonly membership: MembershipService;
    readonly scheduler: Scheduler;
}

/** Shortest time between two reports when a long prompt was placed, in a fleet small enough for it. */
const urgentPeriodMs = 25;
/** Time between reports of everything else. */
const usualPeriodMs = 100;
/** Each further VM makes reports this much rarer, so that the traffic of a VM stays bounded. */
const periodPerVmMs = 2.5;
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
        const { board, scheduler, membership } = this.options;
        const nowMs = scheduler.nowMs();
        const periodMs = Math.max(board.hasUrgentNews ? urgentPeriodMs : usualPeriodMs, membership.members.length * periodPerVmMs);
        if (nowMs - this.lastReportMs < periodMs) {
            return;
        }
        const isWhole = nowMs - this.lastWholeMs >= wholeReportMs;
        const loads = isWhole ? board.wholeReport() : board.takeReport();
        if (isWhole) {
            board.forget(nowMs, vm => !membership.members.some(member => member.vm === vm));
            this.lastWholeMs = nowMs;
        }
        if (loads === undefined || loads.length === 0 && !isWhole) {
            return;
        }
        this.lastReportMs = nowMs;
        for (const { vm } of membership.members) {
            if (vm !== this.options.vm) {
                this.options.links.send(vm, { type: "loadReport", isWhole, loads });
            }
        }
    }
}
