import type { Scheduler } from "../../../core/util/Scheduler.js";
import type { LogClient } from "../../services/LogClient.js";
import type { LogRecord } from "../../services/LogRecord.js";

const firstRetryMs = 50;
const maxRetryMs = 1_000;

interface LogTailOptions {
    readonly log: LogClient;
    readonly scheduler: Scheduler;
    readonly stream: string;
    /** Longest wait of one read for a new record. */
    readonly pollMs: number;
    /** Next offset to read; asked before each read, as a snapshot may move it. */
    readonly nextOffset: () => number;
    /** Takes records in offset order. An empty batch tells that the end of the stream was reached. */
    readonly onRecords: (records: readonly LogRecord[]) => void;
    /** The log no longer holds the next offset. */
    readonly onForgotten: (firstOffset: number) => void;
    readonly onError?: (message: string) => void;
}

/** Follows one stream of the log until aborted; retries with a growing pause while the log cannot be read. */
export class LogTail {
    private retryMs = firstRetryMs;

    constructor(private readonly options: LogTailOptions) {}

    async start(signal: AbortSignal): Promise<void> {
        let isAtEnd = false;
        while (!signal.aborted) {
            const { log, stream, pollMs, nextOffset } = this.options;
            const read = await log.read(stream, nextOffset(), isAtEnd ? pollMs : 0, signal);
            if (signal.aborted) {
                return;
            }
            if (read.isOk()) {
                this.retryMs = firstRetryMs;
                isAtEnd = read.value.length === 0;
                this.options.onRecords(read.value);
            }
            else if (read.error.kind === "forgotten" && read.error.firstOffset !== undefined) {
                this.options.onForgotten(read.error.firstOffset);
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
