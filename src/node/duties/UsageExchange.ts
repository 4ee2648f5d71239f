import type { UsageCollector } from "../../core/duties/UsageCollector.js";
import type { UsageRecorder } from "../../core/duties/UsageRecorder.js";
import type { UsageRun } from "../../core/duties/UsageRun.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import { createLogger } from "../logs/createLogger.js";
import type { MembershipService } from "../services/MembershipService.js";
import type { PeerLinks } from "../services/PeerLinks.js";

const log = createLogger("usage");

type UsageReportMessage = Extract<PeerMessage, { type: "usageReport"; }>;

interface UsageExchangeOptions {
    readonly vm: string;
    readonly incarnation: string;
    readonly links: PeerLinks;
    readonly membership: Pick<MembershipService, "members">;
    readonly scheduler: Scheduler;
    readonly recorder: UsageRecorder;
    readonly collector: UsageCollector;
    /** The VMs that rank first and second for the duty, this one included where it is one of them. */
    readonly rankedVms: () => readonly string[];
    readonly isHolder: () => boolean;
}

/** What this VM knows of another one that collects runs. */
interface CollectorState {
    /** Sequence number up to which the collector has acknowledged this VM's runs. */
    acknowledged: number;
    lastSentMs: number;
    /** When it last said that it holds the lease. */
    lastHolderMs: number;
}

const reportIntervalMs = 1_000;
/** A VM without calls reports its clocks this often, so that true time rests on the clocks of all VMs. */
const idleReportIntervalMs = 5_000;
/** A holder gets reports for this long after it last said so: two announcements and a lost one. */
const holderMemoryMs = 12_000;
/** A holder whose rank has changed announces itself this often to all VMs, as nobody would report to it otherwise. */
const announcementIntervalMs = 5_000;
const unitsPerMs = 10;

/** Sends the runs that this VM has recorded to the VMs that collect them, until these have them, and receives those of the other VMs. */
export class UsageExchange {
    private readonly collectors = new Map<string, CollectorState>();
    private lastAnnouncedMs = -Infinity;

    constructor(private readonly options: UsageExchangeOptions) {}

    start(signal: AbortSignal): void {
        const { links, scheduler } = this.options;
        links.onMessage("usageReport", (from, message) => {
            this.receiveReport(from, message);
            return undefined;
        }, signal);
        links.onMessage("usageReceived", (from, { incarnation, sequence, isHolder }) => {
            if (incarnation !== this.options.incarnation) {
                return undefined;
            }
            const state = this.getCollector(from);
            state.acknowledged = Math.max(state.acknowledged, sequence);
            state.lastHolderMs = isHolder ? scheduler.nowMs() : state.lastHolderMs;
            return undefined;
        }, signal);
        scheduler.every(reportIntervalMs, () => {
            this.sendReports();
            this.announceHolder();
        }, signal);
    }

    /** Sends what the collectors have not acknowledged, as at each second; also to be called before a planned stop. */
    sendReports(): void {
        const { vm, rankedVms, scheduler } = this.options;
        const nowMs = scheduler.nowMs();
        for (const [collector, { lastSentMs, lastHolderMs }] of this.collectors) {
            if (Math.max(lastSentMs, lastHolderMs) < nowMs - 2 * holderMemoryMs) {
                this.collectors.delete(collector);
            }
        }
        const holders = [...this.collectors].filter(([, state]) => state.lastHolderMs >= nowMs - holderMemoryMs).map(([holder]) => holder);
        for (const collector of new Set([...rankedVms(), ...holders])) {
            if (collector !== vm) {
                this.sendReport(collector);
            }
        }
    }

    /** Hands this VM's own runs and clocks to its collector. */
    collectOwn(): void {
        const { vm, incarnation, recorder, collector, scheduler } = this.options;
        const nowMs = scheduler.nowMs();
        const state = this.getCollector(vm);
        const { firstSequence, runs } = recorder.getBatchAfter(state.acknowledged, nowMs);
        state.lastSentMs = nowMs;
        state.acknowledged = collector.receive({
            vm,
            incarnation,
            firstSequence,
            runs,
            sentMs: nowMs,
            wallMs: scheduler.wallMs(),
        }, nowMs) ?? state.acknowledged;
    }

    private announceHolder(): void {
        const { vm, isHolder, links, membership, rankedVms, scheduler } = this.options;
        const nowMs = scheduler.nowMs();
        if (nowMs < this.lastAnnouncedMs + announcementIntervalMs || !isHolder() || rankedVms().includes(vm)) {
            return;
        }
        this.lastAnnouncedMs = nowMs;
        for (const member of membership.members) {
            if (member.vm !== vm) {
                links.send(member.vm, { type: "usageReceived", incarnation: member.incarnation, sequence: 0, isHolder: true });
            }
        }
    }

    private sendReport(collector: string): void {
        const { incarnation, links, recorder, scheduler } = this.options;
        const state = this.getCollector(collector);
        const nowMs = scheduler.nowMs();
        const { firstSequence, runs } = recorder.getBatchAfter(state.acknowledged, nowMs);
        if (runs.length === 0 && state.lastSentMs > nowMs - idleReportIntervalMs) {
            return;
        }
        const isSent = links.send(collector, {
            type: "usageReport",
            incarnation,
            firstSequence,
            sentMs: nowMs,
            wallMs: scheduler.wallMs(),
            ...encodeRuns(runs, nowMs),
        });
        if (isSent) {
            state.lastSentMs = nowMs;
        }
    }

    private receiveReport(from: string, message: UsageReportMessage): void {
        const { collector, links, scheduler, isHolder } = this.options;
        const runs = decodeRuns(message);
        if (runs === undefined) {
            log("usage report is malformed; ignoring it", { vm: from });
            return;
        }
        const { incarnation, firstSequence, sentMs, wallMs } = message;
        const sequence = collector.receive({ vm: from, incarnation, firstSequence, runs, sentMs, wallMs }, scheduler.nowMs());
        if (sequence !== undefined) {
            links.send(from, { type: "usageReceived", incarnation, sequence, isHolder: isHolder() });
        }
    }

    private getCollector(vm: string): CollectorState {
        let state = this.collectors.get(vm);
        if (state === undefined) {
            state = { acknowledged: 0, lastSentMs: -Infinity, lastHolderMs: -Infinity };
            this.collectors.set(vm, state);
        }
        return state;
    }
}

function encodeRuns(runs: readonly UsageRun[], sentMs: number): Pick<UsageReportMessage, "customers" | "customerIndexes" | "beginDeltas"> {
    const indexes = new Map<string, number>();
    const customerIndexes: number[] = [];
    const beginDeltas: number[] = [];
    let previous = 0;
    for (const { customer, begunMs } of runs) {
        const index = indexes.get(customer) ?? indexes.size;
        indexes.set(customer, index);
        customerIndexes.push(index);
        const begin = Math.round((begunMs - sentMs) * unitsPerMs);
        beginDeltas.push(begin - previous);
        previous = begin;
    }
    return { customers: [...indexes.keys()], customerIndexes, beginDeltas };
}

function decodeRuns({ customers, customerIndexes, beginDeltas, sentMs }: UsageReportMessage): UsageRun[] | undefined {
    if (customerIndexes.length !== beginDeltas.length) {
        return undefined;
    }
    const runs: UsageRun[] = [];
    let begin = 0;
    for (const [position, index] of customerIndexes.entries()) {
        const customer = customers[index];
        if (customer === undefined) {
            return undefined;
        }
        begin += beginDeltas[position] ?? 0;
        runs.push({ customer, begunMs: sentMs + begin / unitsPerMs });
    }
    return runs;
}
