import { pack } from "msgpackr";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { PublishedIntervals } from "../../schema/report/PublishedIntervals.js";
import { createLogger } from "../logs/createLogger.js";
import type { LogClient } from "../services/LogClient.js";
import { reportStreamName } from "./reportStreamName.js";
import type { ServiceLevelRecorder } from "./ServiceLevelRecorder.js";

const maxIntervalsPerRecord = 30;

const log = createLogger("report");

interface PublisherOptions {
    readonly vm: string;
    readonly incarnation: string;
    readonly recorder: ServiceLevelRecorder;
    readonly log: LogClient;
    readonly scheduler: Scheduler;
    readonly publishIntervalMs: number;
}

/** Publishes the closed intervals of this VM to the platform's log, so that reports include them after the VM has stopped. */
export class IntervalPublisher {
    private isPublishing = false;

    constructor(private readonly options: PublisherOptions) {}

    /** Publishes every `publishIntervalMs` until `signal` aborts. */
    start(signal: AbortSignal): void {
        this.options.scheduler.every(this.options.publishIntervalMs, () => {
            void this.publish(signal);
        }, signal);
    }

    /** Closes and publishes the current interval too. Called on shutdown, after the last request. */
    async flush(signal: AbortSignal): Promise<void> {
        this.options.recorder.closeCurrentInterval();
        await this.publish(signal);
    }

    /** Retries an append with unknown outcome in a later call; readers deduplicate the copies. */
    private async publish(signal: AbortSignal): Promise<void> {
        const intervals = this.options.recorder.unpublishedIntervals.slice(0, maxIntervalsPerRecord);
        if (this.isPublishing || intervals.length === 0) {
            return;
        }
        this.isPublishing = true;
        const { vm, incarnation, recorder } = this.options;
        const record: PublishedIntervals = { formatVersion: 1, vm, incarnation, intervals };
        const result = await this.options.log.append(reportStreamName, pack(record), signal);
        this.isPublishing = false;
        result.match(
            () => {
                recorder.markPublished(intervals);
            },
            error => {
                log("publishing service level intervals failed; retrying in the next period", {
                    minutes: intervals.length,
                    reason: error.kind,
                });
            },
        );
    }
}
