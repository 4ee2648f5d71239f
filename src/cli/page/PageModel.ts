/** Content of a self-contained HTML page: notes, and sections with tables and plots. */
export interface PageModel {
    readonly title: string;
    readonly subtitle: string;
    /** Warnings, shown highlighted at the top of the page. */
    readonly notes: readonly string[];
    readonly sections: readonly PageSection[];
}

interface PageSection {
    readonly title: string;
    readonly text: string;
    readonly tables: readonly PageTable[];
    readonly plots: readonly PagePlot[];
}

interface PageTable {
    readonly head: readonly string[];
    readonly rows: readonly (readonly PageCell[])[];
}

interface PageCell {
    readonly text: string;
    /** Highlights the cell as good or bad. */
    readonly mark?: "good" | "bad" | undefined;
}

interface PagePlot {
    readonly title: string;
    readonly unit: string;
    /** Values of `x`: `time` for milliseconds since the epoch, `number` for plain numbers. */
    readonly axis: "time" | "number";
    readonly axisTitle: string;
    readonly x: readonly number[];
    readonly lines: readonly PageLine[];
    /** Horizontal reference line, such as an objective. */
    readonly limit?: { readonly label: string; readonly value: number; } | undefined;
    /** Minimum range of the vertical axis, from low to high; extended to fit the data. */
    readonly range?: readonly [number, number] | undefined;
}

interface PageLine {
    readonly label: string;
    /** Index into the colour palette; lines of the same class share it. */
    readonly color: number;
    readonly isDashed: boolean;
    readonly values: readonly (number | undefined)[];
}
