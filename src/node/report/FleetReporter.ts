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
 * Sums service levels over the fleet: live VMs answer with what they have counted up to now, and what VMs that are gone had
 * published is read from the log. Nothing is counted twice, as each incarnation is taken from one of the two.
 */
export class FleetReporter implements ReportService {
    private readonly published: PublishedIntervalReader;

    constructor(private readonly options: ReporterOptions) {
        this.published = new PublishedIntervalReader(options.log, options.scheduler);
    }

    /** Answers the other VMs until `signal` aborts. */
    start(signal: AbortSignal): void {
        const { peers, recorder, incarnation, scheduler } = this.options;
        peers.onMessage("reportQuery", (...[, { sinceMs }]) => {
            return { type: "reportAnswer", incarnation, intervals: recorder.intervals(scheduler.wallMs() - sinceMs) };
        }, signal);
    }

    async report(sinceMs: number, signal: AbortSignal): Promise<ServiceLevelReport> {
        const { vm, incarnation, recorder, config, membership, peers, scheduler } = this.options;
        const nowMs = scheduler.wallMs();
        const reachMs = Math.max(sinceMs, ...burnRateWindowsMs);
        const others = membership.members.filter(member => member.vm !== vm);
        const question = { type: "reportQuery" as const, sinceMs: reachMs };
        const [asked, logRead] = await Promise.all([
            queryMembers(peers, others, question, "reportAnswer", peerTimeoutMs, signal),
            this.published.catchUp(signal),
        ]);
        const live = [
            { key: `${vm}/${incarnation}`, intervals: recorder.intervals(nowMs - reachMs) },
            ...asked.answers.map(({ member, message }) => ({ key: `${member.vm}/${message.incarnation}`, intervals: message.intervals })),
        ];
        const liveKeys = new Set(live.map(({ key }) => key));
        const gone = [...this.published.since(nowMs - reachMs)].filter(([key]) => !liveKeys.has(key)).flatMap(([, intervals]) => intervals);
        const intervals = [...live.flatMap(part => part.intervals), ...gone];
        const objectiveOf = (name: string) => config.view.serviceClasses.get(name)?.objective ?? defaultObjective;
        const span = { sinceAtMs: nowMs - sinceMs, nowMs };
        return {
            generatedAtMs: nowMs,
            sinceAtMs: span.sinceAtMs,
            vms: [vm, ...asked.answers.map(({ member }) => member.vm)],
            silentVms: [...asked.silentVms],
            levels: await aggregateServiceLevels(intervals, span, objectiveOf, () => setImmediate()),
            logRead,
        };
    }
}
