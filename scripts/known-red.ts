// Runs every command of KNOWN-RED.txt and tells which still fail, as expected, and which pass now.
import { readFileSync } from "node:fs";
import { parseKnownRed } from "./parseKnownRed.js";
import { runWithin } from "./runWithin.js";

/** The slowest command takes 75 s alone on the machine; one that stands still must not hold up the run. */
const limitMs = 240_000;

for (const entry of parseKnownRed(readFileSync("KNOWN-RED.txt", "utf8"))) {
    const end = await runWithin(entry.command, limitMs);
    if (end === "passed") {
        console.log(`PASSES NOW, remove it from KNOWN-RED.txt: ${entry.command} (${entry.issue})`);
    }
    else {
        console.log(`still red, ${end}: ${entry.command} (seed ${entry.seed}; ${entry.seen}; ${entry.issue})`);
    }
}
