/** What a self-contained page shows: notes, tables and plots over one axis each. */
export interface PageModel {
    readonly title: string;
    readonly subtitle: string;
    /** Sentences that a reader must not miss. */
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
    /** Marks a cell as good or bad, beside what its text says. */
    readonly mark?: "good" | "bad" | undefined;
}

interface PagePlot {
    readonly title: string;
    readonly unit: string;
    /** `time`: milliseconds since the epoch; `number`: plain values. */
    readonly axis: "time" | "number";
    readonly axisTitle: string;
    readonly x: readonly number[];
    readonly lines: readonly PageLine[];
    /** Straight line to compare with, such as an objective. */
    readonly limit?: { readonly label: string; readonly value: number; } | undefined;
    /** Range that the plot shows at least. */
    readonly range?: readonly [number, number] | undefined;
}

interface PageLine {
    readonly label: string;
    /** Lines of one colour belong together. */
    readonly color: number;
    readonly isDashed: boolean;
    readonly values: readonly (number | undefined)[];
}
