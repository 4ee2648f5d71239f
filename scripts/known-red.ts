// Runs every command of KNOWN-RED.txt and tells which still fail, as expected, and which pass now.
import { spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { parseKnownRed } from "./parseKnownRed.js";

for (const entry of parseKnownRed(readFileSync("KNOWN-RED.txt", "utf8"))) {
    const result = spawnSync("bash", ["-c", entry.command], { stdio: "ignore" });
    if (result.status === 0) {
        console.log(`PASSES NOW, remove it from KNOWN-RED.txt: ${entry.command} (${entry.issue})`);
    }
    else {
        console.log(`still red: ${entry.command} (seed ${entry.seed}; ${entry.seen}; ${entry.issue})`);
    }
}
