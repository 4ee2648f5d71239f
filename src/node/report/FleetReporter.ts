import { setImmediate } from "node:timers/promises";
import { aggregateServiceLevels } from "../../core/servicelevel/aggregateServiceLevels.js";
import { burnRateWindowsMs } from "../../core/servicelevel/burnRateWindowsMs.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { ServiceLevelReport } from "../../schema/report/ServiceLevelReport.js";
import { queryMembers } from "../operator/queryMembers.js";
import type { ConfigService } from "../services/ConfigService.js";
import type { LogClient } from "../services/LogClient.js";
import type { MembershipService } from "../services/MembershipService.js";
import type { PeerLinks } from "../services/PeerLinks.js";
import type { ReportService } from "../services/ReportService.js";
import { PublishedIntervalReader } from "./PublishedIntervalReader.js";
import type { ServiceLevelRecorder } from "./ServiceLevelRecorder.js";

const peerTimeoutMs = 3_000;
/** Objective of a class that is no longer configured. */
const defaultObjective = 0.95;

interface ReporterOptions {
    readonly vm: string;
    readonly incarnation: string;
    readonly recorder: ServiceLevelRecorder;
    readonly config: ConfigService;
    readonly membership: MembershipService;
    readonly peers: PeerLinks;
    readonly log: LogClient;
    readonly scheduler: Scheduler;
}

/**
 * Aggregates service levels over the fleet. Live VMs are queried for their intervals up to now; intervals of VMs that did not
 * reply are read from the log. Each incarnation is taken from only one of the two sources, so no request is counted twice.
 */
export class FleetReporter implements ReportService {
    private readonly publishedReader: PublishedIntervalReader;

    constructor(private readonly options: ReporterOptions) {
        this.publishedReader = new PublishedIntervalReader(options.log, options.scheduler);
    }

    /** Replies to queries of the other VMs until `signal` aborts. */
    start(signal: AbortSignal): void {
        const { peers, recorder, incarnation, scheduler } = this.options;
        peers.onMessage("reportQuery", (...[, { sinceMs }]) => {
            return { type: "reportAnswer", incarnation, intervals: recorder.listIntervals(scheduler.wallMs() - sinceMs) };
        }, signal);
    }

    async report(sinceMs: number, signal: AbortSignal): Promise<ServiceLevelReport> {
        const { vm, incarnation, recorder, config, membership, peers, scheduler } = this.options;
        const nowMs = scheduler.wallMs();
        const lookbackMs = Math.max(sinceMs, ...burnRateWindowsMs);
        const otherMembers = membership.members.filter(member => member.vm !== vm);
        const query = { type: "reportQuery" as const, sinceMs: lookbackMs };
        const [queried, logRead] = await Promise.all([
            queryMembers(peers, otherMembers, query, "reportAnswer", peerTimeoutMs, signal),
            this.publishedReader.catchUp(signal),
        ]);
        const liveReports = [
            { key: `${vm}/${incarnation}`, intervals: recorder.listIntervals(nowMs - lookbackMs) },
            ...queried.replies.map(({ member, message }) => ({ key: `${member.vm}/${message.incarnation}`, intervals: message.intervals })),
        ];
        const liveKeys = new Set(liveReports.map(({ key }) => key));
        const publishedOnly = [...this.publishedReader.listSince(nowMs - lookbackMs)].filter(([key]) => !liveKeys.has(key)).flatMap((
            [, intervals],
        ) => intervals);
        const intervals = [...liveReports.flatMap(liveReport => liveReport.intervals), ...publishedOnly];
        const findObjective = (name: string) => config.view.serviceClasses.get(name)?.objective ?? defaultObjective;
        const timeRange = { sinceAtMs: nowMs - sinceMs, nowMs };
        return {
            generatedAtMs: nowMs,
            sinceAtMs: timeRange.sinceAtMs,
            vms: [vm, ...queried.replies.map(({ member }) => member.vm)],
            silentVms: [...queried.silentVms],
            levels: await aggregateServiceLevels(intervals, timeRange, findObjective, () => setImmediate()),
            logRead,
        };
    }
}
