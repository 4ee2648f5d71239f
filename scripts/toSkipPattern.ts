import type { KnownRedEntry } from "./KnownRedEntry.js";

/**
 * Returns a pattern that matches the names of the tests listed in KNOWN-RED.txt, with a dot for each space so that it needs no quotes;
 * empty when the list holds no test.
 */
export function toSkipPattern(entries: readonly KnownRedEntry[]): string {
    const names = entries.flatMap(({ command }) => /--test-name-pattern "([^"]+)"/.exec(command)?.[1] ?? []);
    return names.map(name => name.replaceAll(" ", ".")).join("|");
}
