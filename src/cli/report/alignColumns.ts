/** Pads the cells of a table for a terminal: the first column is left-aligned, the others are right-aligned. */
export function alignColumns(rows: readonly (readonly string[])[]): string[] {
    const widths = (rows[0] ?? []).map((...[, column]) => Math.max(...rows.map(row => (row[column] ?? "").length)));
    return rows.map(row =>
        row.map((text, column) => column === 0 ? text.padEnd(widths[column] ?? 0) : text.padStart(widths[column] ?? 0)).join("  ")
    );
}
