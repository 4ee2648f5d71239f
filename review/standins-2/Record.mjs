import { writeFileSync } from "node:fs";

/** Collects the lines of a run and writes them to `record.txt` in the folder of the case. */
export class Record {
    startMs = performance.now();
    lines = [];

    constructor(folder) {
        this.file = new URL("record.txt", folder);
    }

    /** Milliseconds since the run began. */
    nowMs() {
        return Math.round(performance.now() - this.startMs);
    }

    add(event, fields = {}) {
        const text = Object.entries(fields).map(([name, value]) => `${name}=${value}`).join(" ");
        this.lines.push(`${String(this.nowMs()).padStart(6)} ms  ${event} ${text}`.trimEnd());
    }

    write() {
        writeFileSync(this.file, `${this.lines.join("\n")}\n`);
    }
}
