import type { ResultAsync } from "neverthrow";
import type { BookingRecord } from "../../core/booking/BookingRecord.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { LogError } from "../services/LogError.js";
import type { GroupCommitItem } from "./GroupCommitItem.js";

const maxBatchRecords = 1_000;
const maxAppendsInFlight = 4;
const initialRetryDelayMs = 20;
const maxRetryDelayMs = 500;

interface GroupCommitOptions {
    readonly scheduler: Scheduler;
    readonly append: (records: readonly BookingRecord[], signal: AbortSignal) => ResultAsync<number, LogError>;
    /** Minimum time between two appends of this VM; read before each append. */
    readonly intervalMs: () => number;
}

/**
 * Appends records in batches: immediately when the interval since the last append has elapsed, otherwise once it elapses.
 * A batch whose append fails is retried, so a record may be in the log more than once; the claim table tolerates duplicates.
 */
export class GroupCommit {
    private queue: GroupCommitItem[] = [];
    private inFlight = 0;
    private lastAppendMs = -Infinity;
    private retryDelayMs = 0;
    private isTimerSet = false;
    private signal: AbortSignal | undefined;

    constructor(private readonly options: GroupCommitOptions) {}

    start(signal: AbortSignal): void {
        this.signal = signal;
        this.schedule();
    }

    add(item: GroupCommitItem): void {
        this.queue.push(item);
        this.schedule();
    }

    /** Queued records plus appends in flight; 0 once every record is confirmed to be in the log or dropped. */
    get pendingCount(): number {
        return this.queue.length + this.inFlight;
    }

    private schedule(): void {
        const signal = this.signal;
        if (signal === undefined || signal.aborted || this.isTimerSet || this.queue.length === 0 || this.inFlight >= maxAppendsInFlight) {
            return;
        }
        this.isTimerSet = true;
        const sinceLastMs = this.options.scheduler.nowMs() - this.lastAppendMs;
        const delayMs = Math.max(0, Math.max(this.options.intervalMs(), this.retryDelayMs) - sinceLastMs);
        this.options.scheduler.after(delayMs, () => {
            this.isTimerSet = false;
            void this.flush(signal);
        }, signal);
    }

    private async flush(signal: AbortSignal): Promise<void> {
        const batch = this.takeBatch();
        if (batch.length === 0) {
            return;
        }
        this.inFlight++;
        this.lastAppendMs = this.options.scheduler.nowMs();
        this.schedule();
        batch.forEach(item => item.onAppending?.());
        const appended = await this.options.append(batch.map(item => item.record), signal);
        this.inFlight--;
        if (appended.isOk()) {
            this.retryDelayMs = 0;
            batch.forEach(item => item.onAppended?.());
        }
        else {
            this.requeue(batch, appended.error.kind === "not-appended");
        }
        this.schedule();
    }

    private requeue(batch: readonly GroupCommitItem[], isKnownNotAppended: boolean): void {
        this.retryDelayMs = Math.min(maxRetryDelayMs, Math.max(initialRetryDelayMs, this.retryDelayMs * 2));
        if (isKnownNotAppended) {
            batch.forEach(item => item.onNotAppended?.());
        }
        this.queue = [...batch, ...this.queue];
    }

    private takeBatch(): GroupCommitItem[] {
        const wanted = this.queue.filter(item => item.isWanted());
        const batch = wanted.slice(0, maxBatchRecords);
        this.queue = wanted.slice(maxBatchRecords);
        return batch;
    }
}
