import { CellTable } from "../../core/servicelevel/CellTable.js";
import { findTargetMissCause } from "../../core/servicelevel/findTargetMissCause.js";
import { IntervalStore } from "../../core/servicelevel/IntervalStore.js";
import { judgeRequest } from "../../core/servicelevel/judgeRequest.js";
import type { Verdict } from "../../core/servicelevel/Verdict.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { DecisionEvent } from "../../schema/explain/DecisionEvent.js";
import type { ServiceLevelInterval } from "../../schema/report/ServiceLevelInterval.js";
import type { ConfigService } from "../services/ConfigService.js";
import type { EventRecorder } from "../services/EventRecorder.js";
import type { RequestObserver } from "../services/RequestObserver.js";
import type { RequestSummary } from "../services/RequestSummary.js";

const intervalMs = 60_000;
const checkPeriodMs = 5_000;
/** The oldest intervals beyond this limit are dropped, which bounds memory while the log cannot be written. */
const maxUnpublishedIntervals = 180;

interface RecorderOptions {
    readonly vm: string;
    readonly config: ConfigService;
    readonly events: EventRecorder;
    readonly scheduler: Scheduler;
}

/** Evaluates each request of this VM against the targets of its class and counts the results in one-minute intervals. */
export class ServiceLevelRecorder implements RequestObserver {
    private readonly store = new IntervalStore();
    private currentCells = new CellTable();
    private currentStartAtMs: number;
    private unpublished: ServiceLevelInterval[] = [];

    constructor(private readonly options: RecorderOptions) {
        this.currentStartAtMs = this.findCurrentStartAtMs();
    }

    /** Closes each interval when it has elapsed, until `signal` aborts. */
    start(signal: AbortSignal): void {
        this.options.scheduler.every(checkPeriodMs, () => {
            this.closeElapsedInterval();
        }, signal);
    }

    requestEnded(summary: RequestSummary): void {
        const serviceClass = this.options.config.view.serviceClasses.get(summary.serviceClass);
        if (serviceClass === undefined || summary.path === undefined) {
            return;
        }
        this.closeElapsedInterval();
        const verdict = judgeRequest(summary, serviceClass);
        this.currentCells.getOrCreateCell(summary.serviceClass, summary.path).add(summary, verdict);
        this.options.events.record(this.createVerdictEvent(summary, summary.path, verdict));
    }

    /** Intervals that this VM has counted since `sinceAtMs`, including the current one. */
    listIntervals(sinceAtMs: number): ServiceLevelInterval[] {
        this.closeElapsedInterval();
        const currentInterval = { startAtMs: this.currentStartAtMs, durationMs: intervalMs, cells: this.currentCells.toCells() };
        return [...this.store.since(sinceAtMs), ...this.currentCells.size > 0 ? [currentInterval] : []];
    }

    /** Closed intervals that have not been published yet, oldest first. */
    get unpublishedIntervals(): readonly ServiceLevelInterval[] {
        return this.unpublished;
    }

    /** Drops intervals whose append to the log has been acknowledged. */
    markPublished(intervals: readonly ServiceLevelInterval[]): void {
        this.unpublished = this.unpublished.filter(interval => !intervals.includes(interval));
    }

    /** Closes the current interval before it has elapsed. Called on shutdown, after the last request. */
    closeCurrentInterval(): void {
        this.closeInterval(this.findCurrentStartAtMs());
    }

    private closeElapsedInterval(): void {
        const startAtMs = this.findCurrentStartAtMs();
        if (startAtMs !== this.currentStartAtMs) {
            this.closeInterval(startAtMs);
            this.store.compact(startAtMs);
        }
    }

    private closeInterval(nextStartAtMs: number): void {
        if (this.currentCells.size > 0) {
            const interval = { startAtMs: this.currentStartAtMs, durationMs: intervalMs, cells: this.currentCells.toCells() };
            this.store.add(interval);
            this.unpublished = [...this.unpublished, interval].slice(-maxUnpublishedIntervals);
            this.currentCells = new CellTable();
        }
        this.currentStartAtMs = nextStartAtMs;
    }

    private findCurrentStartAtMs(): number {
        const nowMs = this.options.scheduler.wallMs();
        return nowMs - nowMs % intervalMs;
    }

    private createVerdictEvent(summary: RequestSummary, path: "old" | "new", verdict: Verdict): DecisionEvent {
        const facts: DecisionEvent["facts"] = {
            verdict: verdict.kind,
            path,
            outcome: summary.outcome,
            status: summary.status,
            totalMs: summary.totalMs,
        };
        if (verdict.kind === "bad") {
            const cause = findTargetMissCause(summary, summary.attempts, verdict.reason);
            facts["missed"] = cause === undefined ? verdict.reason : `${verdict.reason}: ${cause}`;
        }
        if (summary.queueMs !== undefined) {
            facts["queueMs"] = summary.queueMs;
        }
        if (summary.firstTokenMs !== undefined) {
            facts["firstTokenMs"] = summary.firstTokenMs;
        }
        if (summary.wastedTokens > 0) {
            facts["wastedTokens"] = summary.wastedTokens;
        }
        return {
            atMs: this.options.scheduler.wallMs(),
            vm: this.options.vm,
            kind: "judged",
            subject: summary.requestId,
            serviceClass: summary.serviceClass,
            facts,
        };
    }
}
