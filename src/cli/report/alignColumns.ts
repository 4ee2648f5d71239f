/** Lays rows out in columns for a terminal: the first to the left, the others to the right. */
export function alignColumns(rows: readonly (readonly string[])[]): string[] {
    const widths = (rows[0] ?? []).map((...[, column]) => Math.max(...rows.map(row => (row[column] ?? "").length)));
    return rows.map(row =>
        row.map((text, column) => column === 0 ? text.padEnd(widths[column] ?? 0) : text.padStart(widths[column] ?? 0)).join("  ")
    );
}
