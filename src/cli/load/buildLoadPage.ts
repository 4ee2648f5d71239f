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
const bucketMs = 1_000;

interface Row {
    readonly label: string;
    readonly color: number;
    readonly isDashed: boolean;
    readonly run: LoadRun;
    readonly summary: LoadSummary;
}

/** Builds a page for one load run, or for two to compare; lines of the second run are dashed. */
export function buildLoadPage(runs: readonly LoadRun[]): PageModel {
    const rows = createRows(runs);
    return {
        title: runs.length > 1 ? "orioleshelf load, two runs" : "orioleshelf load",
        subtitle: runs.map(run => `${run.name}: ${new Date(run.head.startedAtMs).toISOString()}, seed ${run.head.seed}`).join("; "),
        notes: [],
        sections: [createSummarySection(rows), createLatencySection(rows), createTimeSection(rows)],
    };
}

function createRows(runs: readonly LoadRun[]): Row[] {
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

function createSummarySection(rows: readonly Row[]): Section {
    const head = ["class", "requests", "complete answers", "attained", "first token p50", "p99", "gap p50", "p99", "errors"];
    return {
        title: "Summary",
        text:
            "Latencies are measured from when a request was due. A request without a complete answer counts as having missed its targets.",
        tables: [{
            head,
            rows: rows.map(({ label, summary }) =>
                [
                    label,
                    formatNumber.count(summary.requests),
                    formatNumber.percent(summary.completedRequests / Math.max(1, summary.requests), 2),
                    formatNumber.percent(summary.attainment, 2),
                    formatNumber.duration(summary.firstToken.computePercentileMs(50)),
                    formatNumber.duration(summary.firstToken.computePercentileMs(99)),
                    formatNumber.duration(summary.tokenGap.computePercentileMs(50)),
                    formatNumber.duration(summary.tokenGap.computePercentileMs(99)),
                    summary.errors.map(([code, count]) => `${code} ${count}`).join(", "),
                ].map(text => ({ text }))
            ),
        }],
        plots: [],
    };
}

function createLatencySection(rows: readonly Row[]): Section {
    return {
        title: "Latency by percentile",
        text: "Latency within which the given percentage of the requests of a class were served.",
        tables: [],
        plots: [
            createPercentilePlot("Time to first token", rows, summary => summary.firstToken),
            createPercentilePlot("Mean token gap", rows, summary => summary.tokenGap),
            createPercentilePlot("Total time", rows, summary => summary.total),
        ],
    };
}

function createPercentilePlot(title: string, rows: readonly Row[], getHistogram: (summary: LoadSummary) => LatencyHistogram): Plot {
    const lines = rows.filter(({ summary }) => getHistogram(summary).count > 0).map(({ label, color, isDashed, summary }) => ({
        label,
        color,
        isDashed,
        values: percentiles.map(percentile => getHistogram(summary).computePercentileMs(percentile)),
    }));
    return { title, unit: "ms", axis: "number", axisTitle: "percentile", x: percentiles, lines };
}

function createTimeSection(rows: readonly Row[]): Section {
    const endMs = Math.max(0, ...rows.map(({ run }) => run.head.durationMs));
    const x = Array.from({ length: Math.ceil(endMs / bucketMs) }, (...[, index]) => index * bucketMs / 1_000);
    const createPlot = (title: string, unit: string, getValue: (samples: readonly LoadSample[]) => number | undefined): Plot => ({
        title,
        unit,
        axis: "number",
        axisTitle: "seconds since the start of the run",
        x,
        lines: rows.map(({ label, color, isDashed, run, summary }) => {
            const bySecond = Map.groupBy(
                run.samples.filter(sample => sample.serviceClass === summary.serviceClass),
                sample => Math.floor(sample.dueMs / bucketMs),
            );
            return { label, color, isDashed, values: x.map(second => getValue(bySecond.get(second) ?? [])) };
        }),
    });
    return {
        title: "Over the run",
        text: "Requests grouped by the second in which they were due.",
        tables: [],
        plots: [
            createPlot("Requests due", "requests per second", samples => samples.length),
            createPlot(
                "Requests without a complete answer",
                "requests per second",
                samples => samples.filter(sample => !sample.isComplete).length,
            ),
            createPlot("Longest time to first token", "ms", findLongestFirstTokenMs),
        ],
    };
}

function findLongestFirstTokenMs(samples: readonly LoadSample[]): number | undefined {
    const values = samples.map(sample => sample.firstTokenMs).filter(value => value !== undefined);
    return values.length === 0 ? undefined : Math.max(...values);
}
