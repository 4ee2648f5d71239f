import type { ChildProcess } from "node:child_process";
import { createInterface } from "node:readline";

type Line = Readonly<Record<string, unknown>>;

interface Waiter {
    readonly fits: (line: Line) => boolean;
    readonly resolve: (line: Line) => void;
}

/** Reads the JSON lines that a process writes to its standard output. */
export class LogReader {
    readonly lines: Line[] = [];
    private readonly waiting: Waiter[] = [];

    constructor(child: ChildProcess) {
        createInterface({ input: child.stdout as NodeJS.ReadableStream }).on("line", text => {
            const line = JSON.parse(text) as Line;
            this.lines.push(line);
            for (const waiter of this.waiting.filter(({ fits }) => fits(line))) {
                waiter.resolve(line);
            }
        });
    }

    /** Resolves with the first line that fits, written already or yet to come. */
    until(fits: (line: Line) => boolean): Promise<Line> {
        const found = this.lines.find(fits);
        return found === undefined ? new Promise(resolve => this.waiting.push({ fits, resolve })) : Promise.resolve(found);
    }

    /** The messages that tell of one request, in order. */
    storyOf(requestId: string): readonly unknown[] {
        return this.lines.filter(line => line["requestId"] === requestId).map(line => line["message"]);
    }
}
