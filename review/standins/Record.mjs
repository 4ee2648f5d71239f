import { writeFileSync } from "node:fs";

/** The record of a run: what was sent, answered and run, with the time since the start in seconds. */
export class Record {
    #lines = [];
    #startMs = performance.now();

    constructor(path) {
        this.path = path;
    }

    /** Time since the start, in milliseconds. */
    nowMs() {
        return performance.now() - this.#startMs;
    }

    add(text) {
        this.#lines.push(`${(this.nowMs() / 1_000).toFixed(3).padStart(8)} ${text}`);
    }

    write() {
        writeFileSync(this.path, `${this.#lines.join("\n")}\n`);
    }
}
