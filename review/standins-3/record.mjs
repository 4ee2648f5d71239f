// Writes what was sent, answered and run to record.txt in the folder of a case, and ends the case.
import { writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

export class Record {
    lines = [];

    constructor(caseUrl) {
        this.file = join(dirname(fileURLToPath(caseUrl)), "record.txt");
        this.startMs = performance.now();
        const fail = error => {
            this.add(`could not run: ${error instanceof Error ? error.stack : String(error)}`);
            this.end(2);
        };
        process.on("uncaughtException", fail);
        process.on("unhandledRejection", fail);
        // The case may take 120 seconds at most.
        setTimeout(() => fail("time is over"), 110_000).unref();
    }

    add(line) {
        this.lines.push(`${((performance.now() - this.startMs) / 1_000).toFixed(3).padStart(8)} s  ${line}`);
    }

    /** Writes the record and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    end(code) {
        this.lines.push(["the rule held", "the rule was broken", "the case could not run"][code]);
        writeFileSync(this.file, `${this.lines.join("\n")}\n`);
        process.stdout.write(`${this.lines.slice(-12).join("\n")}\n`);
        process.exit(code);
    }
}

export const hasTrouble = process.env["TROUBLE"] !== "0";
