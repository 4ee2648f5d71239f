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
const maxUnpublished = 180;

interface RecorderOptions {
    readonly vm: string;
    readonly config: ConfigService;
    readonly events: EventRecorder;
    readonly scheduler: Scheduler;
}

/** Judges each request of this VM by its class and counts it by the minute. */
export class ServiceLevelRecorder implements RequestObserver {
    private readonly store = new IntervalStore();
    private live = new CellTable();
    private liveStartAtMs: number;
    private closed: ServiceLevelInterval[] = [];

    constructor(private readonly options: RecorderOptions) {
        this.liveStartAtMs = this.currentStart();
    }

    /** Closes minutes as they pass until `signal` aborts. */
    start(signal: AbortSignal): void {
        this.options.scheduler.every(checkPeriodMs, () => {
            this.closePassed();
        }, signal);
    }

    requestEnded(end: RequestSummary): void {
        const serviceClass = this.options.config.view.serviceClasses.get(end.serviceClass);
        if (serviceClass === undefined || end.path === undefined) {
            return;
        }
        this.closePassed();
        const verdict = judgeRequest(end, serviceClass);
        this.live.getOrCreateCell(end.serviceClass, end.path).add(end, verdict);
        this.options.events.record(this.judged(end, end.path, verdict));
    }

    /** All that this VM has counted since, the running minute included. */
    intervals(sinceAtMs: number): ServiceLevelInterval[] {
        this.closePassed();
        const running = { startAtMs: this.liveStartAtMs, durationMs: intervalMs, cells: this.live.toCells() };
        return [...this.store.since(sinceAtMs), ...this.live.size > 0 ? [running] : []];
    }

    /** Closed minutes that have not been published yet, oldest first. */
    get unpublishedIntervals(): readonly ServiceLevelInterval[] {
        return this.closed;
    }

    /** Forgets minutes that are surely on the log. */
    markPublished(intervals: readonly ServiceLevelInterval[]): void {
        this.closed = this.closed.filter(interval => !intervals.includes(interval));
    }

    /** Closes the running minute early. For the end of the process, after its last request. */
    closeCurrentInterval(): void {
        this.close(this.currentStart());
    }

    private closePassed(): void {
        const start = this.currentStart();
        if (start !== this.liveStartAtMs) {
            this.close(start);
            this.store.compact(start);
        }
    }

    private close(nextStartAtMs: number): void {
        if (this.live.size > 0) {
            const interval = { startAtMs: this.liveStartAtMs, durationMs: intervalMs, cells: this.live.toCells() };
            this.store.add(interval);
            this.closed = [...this.closed, interval].slice(-maxUnpublished);
            this.live = new CellTable();
        }
        this.liveStartAtMs = nextStartAtMs;
    }

    private currentStart(): number {
        const nowMs = this.options.scheduler.wallMs();
        return nowMs - nowMs % intervalMs;
    }

    private judged(end: RequestSummary, path: "old" | "new", verdict: Verdict): DecisionEvent {
        const facts: DecisionEvent["facts"] = {
            verdict: verdict.kind,
            path,
            outcome: end.outcome,
            status: end.status,
            totalMs: end.totalMs,
        };
        if (verdict.kind === "bad") {
            const cause = findTargetMissCause(end, end.attempts, verdict.reason);
            facts["missed"] = cause === undefined ? verdict.reason : `${verdict.reason}: ${cause}`;
        }
        if (end.queueMs !== undefined) {
            facts["queueMs"] = end.queueMs;
        }
        if (end.firstTokenMs !== undefined) {
            facts["firstTokenMs"] = end.firstTokenMs;
        }
        if (end.wastedTokens > 0) {
            facts["wastedTokens"] = end.wastedTokens;
        }
        return {
            atMs: this.options.scheduler.wallMs(),
            vm: this.options.vm,
            kind: "judged",
            subject: end.requestId,
            serviceClass: end.serviceClass,
            facts,
        };
    }
}
