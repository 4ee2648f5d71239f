import type { ChildProcess } from "node:child_process";
import { createInterface } from "node:readline";

type Line = Readonly<Record<string, unknown>>;

interface Waiter {
    readonly matches: (line: Line) => boolean;
    readonly resolve: (line: Line) => void;
}

/** Collects the JSON log lines that a process writes to its standard output. */
export class LogReader {
    readonly lines: Line[] = [];
    private readonly waiters: Waiter[] = [];

    constructor(child: ChildProcess) {
        createInterface({ input: child.stdout as NodeJS.ReadableStream }).on("line", text => {
            const line = JSON.parse(text) as Line;
            this.lines.push(line);
            for (const waiter of this.waiters.filter(({ matches }) => matches(line))) {
                waiter.resolve(line);
            }
        });
    }

    /** Resolves with the first matching line, whether it has been written already or is written later. */
    waitForLine(matches: (line: Line) => boolean): Promise<Line> {
        const found = this.lines.find(matches);
        return found === undefined ? new Promise(resolve => this.waiters.push({ matches, resolve })) : Promise.resolve(found);
    }

    /** Returns the messages logged for one request, in order. */
    messagesOf(requestId: string): readonly unknown[] {
        return this.lines.filter(line => line["requestId"] === requestId).map(line => line["message"]);
    }
}
