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

/** Publishes the closed minutes of this VM on the platform's log, so that they survive it. */
export class IntervalPublisher {
    private isPublishing = false;

    constructor(private readonly options: PublisherOptions) {}

    /** Publishes until `signal` aborts. */
    start(signal: AbortSignal): void {
        this.options.scheduler.every(this.options.publishIntervalMs, () => {
            void this.publish(signal);
        }, signal);
    }

    /** Publishes the running minute too. For the end of the process, after its last request. */
    async flush(signal: AbortSignal): Promise<void> {
        this.options.recorder.closeCurrentInterval();
        await this.publish(signal);
    }

    /** An append that may have landed is made again; readers drop the second copy. */
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
                log("counts not published, will try again", { minutes: intervals.length, reason: error.kind });
            },
        );
    }
}
