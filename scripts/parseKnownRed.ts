import type { KnownRedEntry } from "./KnownRedEntry.js";

/** Parses KNOWN-RED.txt: one `command | seed | what was seen | issue N` per line; `#` starts a comment. Throws on a malformed line. */
export function parseKnownRed(text: string): KnownRedEntry[] {
    return text
        .split("\n")
        .map(line => line.trim())
        .filter(line => line !== "" && !line.startsWith("#"))
        .map(parseLine);
}

function parseLine(line: string): KnownRedEntry {
    const [command, seed, seen, issue, ...rest] = line.split(" | ").map(part => part.trim());
    if (!command || !seed || !seen || !issue || rest.length > 0 || !/^issue \d+$/.test(issue)) {
        throw new Error(`KNOWN-RED.txt: write "command | seed | what was seen | issue N" instead of: ${line}`);
    }
    return { command, seed, seen, issue };
}
