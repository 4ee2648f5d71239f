import { write, writeSync } from "node:fs";

interface LineWriter {
    /** Queues one line; drops it when the buffer is full. */
    write(line: string): void;
    /** Writes the queued lines synchronously; call it before the process exits. */
    flush(): void;
}

/** Lines are batched for this time, so that one system call writes many of them. */
const flushDelayMs = 250;
/** Limit of queued lines. Lines beyond it are dropped, because the reader of the descriptor does not keep up. */
const maxPendingCharacters = 512 * 1024;

/** Creates a writer that sends lines to a file descriptor asynchronously. Dropped lines are reported by a log line with their count. */
export function createLineWriter(descriptor: number): LineWriter {
    let pendingLines: string[] = [];
    let pendingCharacters = 0;
    let droppedCount = 0;
    let isWriting = false;
    let timer: NodeJS.Timeout | undefined;

    const takePendingText = (): string => {
        if (droppedCount > 0) {
            pendingLines.push(
                JSON.stringify({
                    time: new Date().toISOString(),
                    part: "orioleshelf:logs",
                    message: "log lines dropped",
                    count: droppedCount,
                }),
            );
            droppedCount = 0;
        }
        const text = pendingLines.join("\n") + "\n";
        pendingLines = [];
        pendingCharacters = 0;
        return text;
    };
    const writeFrom = (bytes: Buffer, from: number) => {
        write(descriptor, bytes, from, (error, written) => {
            // A pipe that is full for now must not end a line in its middle.
            if (error?.code === "EAGAIN") {
                setTimeout(() => {
                    writeFrom(bytes, from);
                }, flushDelayMs).unref();
                return;
            }
            if (!error && from + written < bytes.length) {
                writeFrom(bytes, from + written);
                return;
            }
            isWriting = false;
            scheduleWrite();
        });
    };
    const scheduleWrite = () => {
        if (timer !== undefined || isWriting || pendingLines.length === 0) {
            return;
        }
        timer = setTimeout(() => {
            timer = undefined;
            isWriting = true;
            writeFrom(Buffer.from(takePendingText()), 0);
        }, flushDelayMs);
        timer.unref();
    };
    return {
        write(line) {
            if (pendingCharacters + line.length > maxPendingCharacters) {
                droppedCount++;
                return;
            }
            pendingLines.push(line);
            pendingCharacters += line.length;
            scheduleWrite();
        },
        flush() {
            if (pendingLines.length > 0) {
                try {
                    writeSync(descriptor, takePendingText());
                }
                catch {
                    // The reader closed the descriptor or does not keep up; the process exits regardless.
                }
            }
        },
    };
}
