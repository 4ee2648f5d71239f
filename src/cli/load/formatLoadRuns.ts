import type { LoadRun } from "../../load/LoadRun.js";
import type { LoadSummary } from "../../load/LoadSummary.js";
import { summarizeLoad } from "../../load/summarizeLoad.js";
import { alignColumns } from "../report/alignColumns.js";
import { formatNumber } from "../report/formatNumber.js";

const head = ["class", "requests", "whole", "attained", "token/s", "first p50", "p95", "p99", "max", "gap p50", "p99", "total p50", "p99"];

/** Formats load runs as a table for a terminal, sorted by class so that the same class of several runs is adjacent. */
export function formatLoadRuns(runs: readonly LoadRun[]): string[] {
    const rows = runs.flatMap(run => summarizeLoad(run.samples, run.head.targets).map(summary => ({ run, summary }))).sort((left, right) =>
        left.summary.serviceClass < right.summary.serviceClass ? -1 : left.summary.serviceClass > right.summary.serviceClass ? 1 : 0
    );
    const label = (run: LoadRun, summary: LoadSummary) => runs.length > 1 ? `${summary.serviceClass} ${run.name}` : summary.serviceClass;
    const errors = rows.filter(({ summary }) => summary.errors.length > 0)
        .map(({ run, summary }) => `  ${label(run, summary)}: ${summary.errors.map(([code, count]) => `${code} ${count}`).join(", ")}`);
    return [
        ...alignColumns([head, ...rows.map(({ run, summary }) => [label(run, summary), ...formatCells(run, summary)])]),
        ...errors.length > 0 ? ["without a complete answer:", ...errors] : [],
    ];
}

function formatCells(run: LoadRun, summary: LoadSummary): string[] {
    const { firstToken, tokenGap, total } = summary;
    return [
        formatNumber.count(summary.requests),
        formatNumber.percent(summary.completedRequests / Math.max(1, summary.requests), 2),
        formatNumber.percent(summary.attainment, 2),
        formatNumber.count(Math.round(summary.tokens / (run.head.durationMs / 1_000))),
        ...[firstToken.computePercentileMs(50), firstToken.computePercentileMs(95), firstToken.computePercentileMs(99), firstToken.maxMs]
            .map(
                formatNumber.duration,
            ),
        ...[tokenGap.computePercentileMs(50), tokenGap.computePercentileMs(99)].map(formatNumber.duration),
        ...[total.computePercentileMs(50), total.computePercentileMs(99)].map(formatNumber.duration),
    ];
}
