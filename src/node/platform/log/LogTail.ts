import type { Scheduler } from "../../../core/util/Scheduler.js";
import type { LogClient } from "../../services/LogClient.js";
import type { LogRecord } from "../../services/LogRecord.js";

const initialRetryDelayMs = 50;
const maxRetryDelayMs = 1_000;
/** An empty read result counts as the end of the stream only if the read took less than this. */
const maxCaughtUpReadMs = 1_000;

interface LogTailOptions {
    readonly log: LogClient;
    readonly scheduler: Scheduler;
    readonly stream: string;
    /** Longest time that one read waits for a new record. */
    readonly maxPollWaitMs: number;
    /** Returns the next offset to read. Called before each read, as loading a snapshot may change it. */
    readonly nextOffset: () => number;
    /** Called with new records in offset order. */
    readonly onRecords: (records: readonly LogRecord[]) => void;
    /**
     * Called when a read reaches the end of the stream. An empty result of a read that took long, for example due to a pause of the
     * VM, does not count, as records may have been appended meanwhile.
     */
    readonly onCaughtUp?: () => void;
    /** Called when the log no longer retains the next offset. */
    readonly onTruncated: (firstOffset: number) => void;
    /** Called when a read fails for any other reason; the read is retried. */
    readonly onError?: (message: string) => void;
}

/** Tails one stream of the log until aborted. Retries with exponential backoff while the log cannot be read. */
export class LogTail {
    private retryDelayMs = initialRetryDelayMs;

    constructor(private readonly options: LogTailOptions) {}

    async start(signal: AbortSignal): Promise<void> {
        let isAtEnd = false;
        while (!signal.aborted) {
            const { log, scheduler, stream, maxPollWaitMs, nextOffset } = this.options;
            const readStartedMs = scheduler.nowMs();
            const read = await log.read(stream, nextOffset(), isAtEnd ? maxPollWaitMs : 0, signal);
            if (signal.aborted) {
                return;
            }
            if (read.isOk()) {
                this.retryDelayMs = initialRetryDelayMs;
                const isFresh = scheduler.nowMs() - readStartedMs < maxCaughtUpReadMs;
                this.options.onRecords(read.value);
                if (read.value.length === 0 && !isAtEnd && isFresh) {
                    this.options.onCaughtUp?.();
                }
                isAtEnd = read.value.length === 0 && (isAtEnd || isFresh);
            }
            else if (read.error.kind === "forgotten" && read.error.firstOffset !== undefined) {
                this.options.onTruncated(read.error.firstOffset);
                await this.sleep(initialRetryDelayMs, signal);
            }
            else {
                this.options.onError?.(read.error.message);
                await this.sleep(this.retryDelayMs, signal);
                this.retryDelayMs = Math.min(maxRetryDelayMs, this.retryDelayMs * 2);
            }
        }
    }

    private sleep(durationMs: number, signal: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            const finish = () => {
                signal.removeEventListener("abort", finish);
                resolve();
            };
            this.options.scheduler.after(durationMs, finish, signal);
            signal.addEventListener("abort", finish, { once: true });
        });
    }
}
