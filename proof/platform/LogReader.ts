import type { ChildProcess } from "node:child_process";
import { createInterface } from "node:readline";

type Line = Readonly<Record<string, unknown>>;

interface Waiter {
    readonly matches: (line: Line) => boolean;
    readonly resolve: (line: Line) => void;
    readonly reject: (error: Error) => void;
}

const shownLines = 5;

/** Collects the JSON log lines that a process writes to its standard output. */
export class LogReader {
    readonly lines: Line[] = [];
    private readonly waiters: Waiter[] = [];
    private hasEnded = false;

    constructor(child: ChildProcess) {
        createInterface({ input: child.stdout as NodeJS.ReadableStream }).on("line", text => {
            const line = JSON.parse(text) as Line;
            this.lines.push(line);
            for (const waiter of this.waiters.filter(({ matches }) => matches(line))) {
                waiter.resolve(line);
            }
        }).on("close", () => {
            this.hasEnded = true;
            for (const waiter of this.waiters) {
                waiter.reject(this.createEndError());
            }
        });
    }

    /** Resolves with the first matching line, whether it has been written already or is written later; rejects if the output ends first. */
    waitForLine(matches: (line: Line) => boolean): Promise<Line> {
        const found = this.lines.find(matches);
        if (found !== undefined) {
            return Promise.resolve(found);
        }
        return this.hasEnded
            ? Promise.reject(this.createEndError())
            : new Promise((resolve, reject) => this.waiters.push({ matches, resolve, reject }));
    }

    /** Returns the messages logged for one request, in order. */
    messagesOf(requestId: string): readonly unknown[] {
        return this.lines.filter(line => line["requestId"] === requestId).map(line => line["message"]);
    }

    private createEndError(): Error {
        const lastLines = this.lines.slice(-shownLines).map(line => JSON.stringify(line));
        return new Error(`the output of the process ended before the awaited line; it ends with ${lastLines.join("; ")}`);
    }
}
