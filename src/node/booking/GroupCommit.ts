import type { ResultAsync } from "neverthrow";
import type { BookingRecord } from "../../core/booking/BookingRecord.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { LogError } from "../services/LogError.js";
import type { GroupCommitItem } from "./GroupCommitItem.js";

const maxBatchRecords = 1_000;
const maxAppendsInFlight = 4;
const firstRetryMs = 20;
const maxRetryMs = 500;

interface GroupCommitOptions {
    readonly scheduler: Scheduler;
    readonly append: (records: readonly BookingRecord[], signal: AbortSignal) => ResultAsync<number, LogError>;
    /** Shortest time between two appends of this VM, asked before each. */
    readonly intervalMs: () => number;
}

/**
 * Appends records in groups: at once when the last append is longer ago than the interval, else when it has passed.
 * A group whose append failed is appended again; every record may thus land more than once, which the claim table allows.
 */
export class GroupCommit {
    private queue: GroupCommitItem[] = [];
    private inFlight = 0;
    private lastAppendMs = -Infinity;
    private retryMs = 0;
    private timerSet = false;
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

    /** Records that are not known to be in the log yet. */
    get pendingCount(): number {
        return this.queue.length + this.inFlight;
    }

    private schedule(): void {
        const signal = this.signal;
        if (signal === undefined || signal.aborted || this.timerSet || this.queue.length === 0 || this.inFlight >= maxAppendsInFlight) {
            return;
        }
        this.timerSet = true;
        const sinceLastMs = this.options.scheduler.nowMs() - this.lastAppendMs;
        const delayMs = Math.max(0, Math.max(this.options.intervalMs(), this.retryMs) - sinceLastMs);
        this.options.scheduler.after(delayMs, () => {
            this.timerSet = false;
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
            this.retryMs = 0;
            batch.forEach(item => item.onAppended?.());
        }
        else {
            this.requeue(batch, appended.error.kind === "not-appended");
        }
        this.schedule();
    }

    private requeue(batch: readonly GroupCommitItem[], isSurelyNotAppended: boolean): void {
        this.retryMs = Math.min(maxRetryMs, Math.max(firstRetryMs, this.retryMs * 2));
        if (isSurelyNotAppended) {
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
