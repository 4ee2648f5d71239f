import type { ExampleCall } from "./ExampleCall.js";

const columns: readonly (keyof ExampleCall)[] = ["what", "serviceClass", "vm", "path", "upstream", "status", "outcome", "answer"];

/** Formats the calls as a table for a terminal. */
export function formatExampleCalls(calls: readonly ExampleCall[]): string[] {
    const rows = [columns.map(String), ...calls.map(call => columns.map(column => String(call[column])))];
    const widths = columns.map((...[, index]) => Math.max(...rows.map(row => row[index]?.length ?? 0)));
    return rows.map(row => row.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join("  ").trimEnd());
}
