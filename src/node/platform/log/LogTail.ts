import type { Scheduler } from "../../../core/util/Scheduler.js";
import type { LogClient } from "../../services/LogClient.js";
import type { LogRecord } from "../../services/LogRecord.js";

const firstRetryMs = 50;
const maxRetryMs = 1_000;
const maxAnswerAgeMs = 1_000;

interface LogTailOptions {
    readonly log: LogClient;
    readonly scheduler: Scheduler;
    readonly stream: string;
    /** Longest wait of one read for a new record. */
    readonly maxPollWaitMs: number;
    /** Next offset to read; asked before each read, as a snapshot may move it. */
    readonly nextOffset: () => number;
    /** Takes records in offset order. */
    readonly onRecords: (records: readonly LogRecord[]) => void;
    /** The end of the stream was reached, a moment ago: an answer that was held up, as by a pause of the VM, does not count. */
    readonly onCaughtUp?: () => void;
    /** The log no longer holds the next offset. */
    readonly onTruncated: (firstOffset: number) => void;
    readonly onError?: (message: string) => void;
}

/** Follows one stream of the log until aborted; retries with a growing pause while the log cannot be read. */
export class LogTail {
    private retryMs = firstRetryMs;

    constructor(private readonly options: LogTailOptions) {}

    async start(signal: AbortSignal): Promise<void> {
        let isAtEnd = false;
        while (!signal.aborted) {
            const { log, scheduler, stream, maxPollWaitMs: pollMs, nextOffset } = this.options;
            const askedMs = scheduler.nowMs();
            const read = await log.read(stream, nextOffset(), isAtEnd ? pollMs : 0, signal);
            if (signal.aborted) {
                return;
            }
            if (read.isOk()) {
                this.retryMs = firstRetryMs;
                const isFresh = scheduler.nowMs() - askedMs < maxAnswerAgeMs;
                this.options.onRecords(read.value);
                if (read.value.length === 0 && !isAtEnd && isFresh) {
                    this.options.onCaughtUp?.();
                }
                isAtEnd = read.value.length === 0 && (isAtEnd || isFresh);
            }
            else if (read.error.kind === "forgotten" && read.error.firstOffset !== undefined) {
                this.options.onTruncated(read.error.firstOffset);
                await this.pause(firstRetryMs, signal);
            }
            else {
                this.options.onError?.(read.error.message);
                await this.pause(this.retryMs, signal);
                this.retryMs = Math.min(maxRetryMs, this.retryMs * 2);
            }
        }
    }

    private pause(durationMs: number, signal: AbortSignal): Promise<void> {
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
