import type { LatencyHistogram } from "../../core/servicelevel/LatencyHistogram.js";
import type { LoadRun } from "../../load/LoadRun.js";
import type { LoadSample } from "../../load/LoadSample.js";
import type { LoadSummary } from "../../load/LoadSummary.js";
import { summarizeLoad } from "../../load/summarizeLoad.js";
import type { PageModel } from "../page/PageModel.js";
import { formatNumber } from "../report/formatNumber.js";

type Section = PageModel["sections"][number];
type Plot = Section["plots"][number];

const percentiles = [0, 10, 20, 30, 40, 50, 60, 70, 80, 85, 90, 92.5, 95, 97.5, 98, 99, 99.5, 99.9];
const pointMs = 1_000;

interface Row {
    readonly label: string;
    readonly color: number;
    readonly isDashed: boolean;
    readonly run: LoadRun;
    readonly summary: LoadSummary;
}

/** One load run, or two beside each other, as a page: the second run is dashed. */
export function buildLoadPage(runs: readonly LoadRun[]): PageModel {
    const rows = rowsOf(runs);
    return {
        title: runs.length > 1 ? "orioleshelf load, two runs" : "orioleshelf load",
        subtitle: runs.map(run => `${run.name}: ${new Date(run.head.startedAtMs).toISOString()}, seed ${run.head.seed}`).join("; "),
        notes: [],
        sections: [table(rows), latency(rows), overTime(rows)],
    };
}

function rowsOf(runs: readonly LoadRun[]): Row[] {
    const summaries = runs.map(run => summarizeLoad(run.samples, run.head.targets));
    const classes = [...new Set(summaries.flat().map(summary => summary.serviceClass))].sort();
    return runs.flatMap((run, index) =>
        (summaries[index] ?? []).map(summary => ({
            label: runs.length > 1 ? `${summary.serviceClass}, ${run.name}` : summary.serviceClass,
            color: classes.indexOf(summary.serviceClass),
            isDashed: index > 0,
            run,
            summary,
        }))
    ).sort((left, right) => left.color - right.color);
}

function table(rows: readonly Row[]): Section {
    const head = ["class", "requests", "whole answers", "attained", "first token p50", "p99", "gap p50", "p99", "errors"];
    return {
        title: "Summary",
        text: "Times count from when a request was due. A request without a whole answer attains nothing.",
        tables: [{
            head,
            rows: rows.map(({ label, summary }) =>
                [
                    label,
                    formatNumber.count(summary.requests),
                    formatNumber.percent(summary.completedRequests / Math.max(1, summary.requests), 2),
                    formatNumber.percent(summary.attainment, 2),
                    formatNumber.duration(summary.firstToken.percentileMs(50)),
                    formatNumber.duration(summary.firstToken.percentileMs(99)),
                    formatNumber.duration(summary.tokenGap.percentileMs(50)),
                    formatNumber.duration(summary.tokenGap.percentileMs(99)),
                    summary.errors.map(([code, count]) => `${code} ${count}`).join(", "),
                ].map(text => ({ text }))
            ),
        }],
        plots: [],
    };
}

function latency(rows: readonly Row[]): Section {
    return {
        title: "Latency by percentile",
        text: "Each line gives the time within which that share of the class's requests was served.",
        tables: [],
        plots: [
            byPercentile("First token", rows, summary => summary.firstToken),
            byPercentile("Mean gap between tokens", rows, summary => summary.tokenGap),
            byPercentile("Whole answer", rows, summary => summary.total),
        ],
    };
}

function byPercentile(title: string, rows: readonly Row[], histogramOf: (summary: LoadSummary) => LatencyHistogram): Plot {
    const lines = rows.filter(({ summary }) => histogramOf(summary).count > 0).map(({ label, color, isDashed, summary }) => ({
        label,
        color,
        isDashed,
        values: percentiles.map(percentile => histogramOf(summary).percentileMs(percentile)),
    }));
    return { title, unit: "ms", axis: "number", axisTitle: "percentile", x: percentiles, lines };
}

function overTime(rows: readonly Row[]): Section {
    const endMs = Math.max(0, ...rows.map(({ run }) => run.head.durationMs));
    const x = Array.from({ length: Math.ceil(endMs / pointMs) }, (...[, index]) => index * pointMs / 1_000);
    const plot = (title: string, unit: string, valueOf: (samples: readonly LoadSample[]) => number | undefined): Plot => ({
        title,
        unit,
        axis: "number",
        axisTitle: "seconds since the start",
        x,
        lines: rows.map(({ label, color, isDashed, run, summary }) => {
            const bySecond = Map.groupBy(
                run.samples.filter(sample => sample.serviceClass === summary.serviceClass),
                sample => Math.floor(sample.dueMs / pointMs),
            );
            return { label, color, isDashed, values: x.map(second => valueOf(bySecond.get(second) ?? [])) };
        }),
    });
    return {
        title: "Over the run",
        text: "By the second in which requests were due.",
        tables: [],
        plots: [
            plot("Requests due", "requests a second", samples => samples.length),
            plot("Requests without a whole answer", "requests a second", samples => samples.filter(sample => !sample.isComplete).length),
            plot("Longest wait for a first token", "ms", longestFirstToken),
        ],
    };
}

function longestFirstToken(samples: readonly LoadSample[]): number | undefined {
    const values = samples.map(sample => sample.firstTokenMs).filter(value => value !== undefined);
    return values.length === 0 ? undefined : Math.max(...values);
}
