import { RunBeginEstimator } from "../../core/duties/RunBeginEstimator.js";
import type { RunEvidence } from "../../core/duties/RunEvidence.js";
import { UsageCollector } from "../../core/duties/UsageCollector.js";
import { UsageRecorder } from "../../core/duties/UsageRecorder.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import { createLogger } from "../logs/createLogger.js";
import type { Metrics } from "../metrics/Metrics.js";
import type { MembershipService } from "../services/MembershipService.js";
import type { PeerLinks } from "../services/PeerLinks.js";
import type { DutyApi } from "./DutyApi.js";
import { UsageExchange } from "./UsageExchange.js";
import type { UsageLease } from "./UsageLease.js";
import { UsageMetrics } from "./UsageMetrics.js";
import { UsageReporter } from "./UsageReporter.js";

const log = createLogger("usage");

/** At multiples of the membership's tick, so that it costs no wake-up of its own. */
const tickMs = 200;
/** A clock that is further off than this is logged. */
const loggedClockErrorMs = 500;

interface UsageTaskOptions {
    readonly vm: string;
    readonly incarnation: string;
    readonly links: PeerLinks;
    readonly membership: Pick<MembershipService, "members">;
    readonly scheduler: Scheduler;
    readonly lease: UsageLease;
    readonly api: DutyApi;
    readonly metrics: Metrics;
    readonly random: () => number;
    readonly windowMs: number;
    /** Time after the end of a window by which its report is due. */
    readonly lateMs: number;
    /** The VMs that rank first and second for the duty. */
    readonly rankedVms: () => readonly string[];
    /** Number of VMs, those included that this one has lost sight of lately; undefined while it is not known. */
    readonly fleetSize: () => number | undefined;
}

/** Reports the usage of customers: records runs on this VM, collects those of all VMs where it ranks for that, and reports as the holder. */
export class UsageTask {
    private readonly estimator = new RunBeginEstimator();
    private readonly recorder = new UsageRecorder();
    private readonly collector: UsageCollector;
    private readonly exchange: UsageExchange;
    private readonly reporter: UsageReporter;
    private isClockOff = false;

    constructor(private readonly options: UsageTaskOptions) {
        const { lease, scheduler } = options;
        const collector = new UsageCollector(options.windowMs);
        this.collector = collector;
        this.exchange = new UsageExchange({
            ...options,
            recorder: this.recorder,
            collector,
            isHolder: () => lease.getHeld() !== undefined,
        });
        const metrics = new UsageMetrics(options.metrics, {
            ownErrorMs: () => collector.ownClockErrorMs,
            count: () => collector.countClocks(scheduler.nowMs()),
        });
        this.reporter = new UsageReporter({ ...options, collector, metrics });
    }

    start(signal: AbortSignal): void {
        const { lease, scheduler } = this.options;
        this.exchange.start(signal);
        const tick = () => {
            this.tick(signal);
        };
        lease.onAcquired(tick);
        scheduler.every(tickMs, tick, signal);
    }

    /** Records that a call of a customer began to run. */
    recordRun(customer: string, evidence: RunEvidence = { kind: "event" }): void {
        this.recorder.record(customer, this.estimator.estimate(evidence, this.options.scheduler.nowMs()));
    }

    /** Sends what has been recorded since the last report; to be called before a planned stop. */
    flush(): void {
        this.exchange.sendReports();
    }

    private tick(signal: AbortSignal): void {
        const { membership, scheduler, fleetSize } = this.options;
        if (signal.aborted) {
            return;
        }
        this.exchange.collectOwn();
        this.collector.update(scheduler.nowMs(), scheduler.wallMs(), Math.max(membership.members.length, fleetSize() ?? 0));
        this.logClock();
        this.reporter.tick(signal);
    }

    private logClock(): void {
        const errorMs = this.collector.ownClockErrorMs;
        const isOff = errorMs !== undefined && Math.abs(errorMs) > loggedClockErrorMs;
        if (isOff !== this.isClockOff && errorMs !== undefined) {
            this.isClockOff = isOff;
            log(isOff ? "wall clock is off the median of the fleet's clocks" : "wall clock agrees with the fleet's clocks again", {
                errorMs: Math.round(errorMs),
            });
        }
    }
}
