import { write, writeSync } from "node:fs";

interface LineWriter {
    /** Takes one line; drops it when too much is waiting. */
    write(line: string): void;
    /** Writes what is waiting before the process ends. */
    flush(): void;
}

/** Lines wait for each other this long, so that many leave in one call of the system. */
const gatherMs = 250;
/** Lines beyond this are dropped and counted, as whoever reads them does not keep up. */
const maxWaitingBytes = 512 * 1024;

/** Writes lines to a file descriptor without ever blocking on it. Lines that had to be dropped are counted in a line of their own. */
export function createLineWriter(descriptor: number): LineWriter {
    let waiting: string[] = [];
    let waitingBytes = 0;
    let dropped = 0;
    let isBusy = false;
    let timer: NodeJS.Timeout | undefined;

    const take = (): string => {
        if (dropped > 0) {
            waiting.push(
                JSON.stringify({ time: new Date().toISOString(), part: "orioleshelf:logs", message: "lines dropped", count: dropped }),
            );
            dropped = 0;
        }
        const text = waiting.join("\n") + "\n";
        waiting = [];
        waitingBytes = 0;
        return text;
    };
    const send = (bytes: Buffer, from: number) => {
        write(descriptor, bytes, from, (error, written) => {
            if (!error && from + written < bytes.length) {
                send(bytes, from + written);
                return;
            }
            isBusy = false;
            schedule();
        });
    };
    const schedule = () => {
        if (timer !== undefined || isBusy || waiting.length === 0) {
            return;
        }
        timer = setTimeout(() => {
            timer = undefined;
            isBusy = true;
            send(Buffer.from(take()), 0);
        }, gatherMs);
        timer.unref();
    };
    return {
        write(line) {
            if (waitingBytes + line.length > maxWaitingBytes) {
                dropped++;
                return;
            }
            waiting.push(line);
            waitingBytes += line.length;
            schedule();
        },
        flush() {
            if (waiting.length > 0) {
                try {
                    writeSync(descriptor, take());
                }
                catch {
                    // The reader has gone or does not keep up; the process ends all the same.
                }
            }
        },
    };
}
