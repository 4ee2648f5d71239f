// Runs every command of KNOWN-RED.txt and prints which still fail, as expected, and which pass now. With `--skip-pattern`, prints only the
// pattern of the tests that are listed there.
import { readFileSync } from "node:fs";
import { parseKnownRed } from "./parseKnownRed.js";
import { runWithin } from "./runWithin.js";
import { toSkipPattern } from "./toSkipPattern.js";

/** The slowest command takes 75 s on an otherwise idle machine; the timeout keeps a hanging command from blocking the run. */
const commandTimeoutMs = 240_000;

const entries = parseKnownRed(readFileSync("KNOWN-RED.txt", "utf8"));
if (process.argv.includes("--skip-pattern")) {
    console.log(toSkipPattern(entries));
    process.exit(0);
}
for (const entry of entries) {
    const outcome = await runWithin(entry.command, commandTimeoutMs);
    if (outcome === "passed") {
        console.log(`PASSES NOW, remove it from KNOWN-RED.txt: ${entry.command} (${entry.issue})`);
    }
    else {
        console.log(`still red, ${outcome}: ${entry.command} (seed ${entry.seed}; ${entry.seen}; ${entry.issue})`);
    }
}
