import type { ServiceLevel } from "../../schema/report/ServiceLevel.js";
import type { ServiceLevelReport } from "../../schema/report/ServiceLevelReport.js";
import type { PageModel } from "../page/PageModel.js";
import { buildReportNotes } from "./buildReportNotes.js";
import { formatNumber } from "./formatNumber.js";

type Section = PageModel["sections"][number];
type Plot = Section["plots"][number];
type Cell = Section["tables"][number]["rows"][number][number];
type Point = ServiceLevel["points"][number];

/** Builds a page with tables and plots from a report. */
export function buildReportPage(report: ServiceLevelReport): PageModel {
    const { levels } = report;
    return {
        title: "orioleshelf service levels",
        subtitle: `${new Date(report.sinceAtMs).toISOString()} to ${
            new Date(report.generatedAtMs).toISOString()
        }, counted on ${report.vms.length} VMs`,
        notes: buildReportNotes(report),
        sections: [
            createSummarySection(levels),
            createBurnSection(levels),
            createAttainmentSection(levels),
            createWaitingSection(levels),
            createWastedWorkSection(levels),
            createPathsSection(levels),
            createReasonsSection(levels),
        ],
    };
}

function createSummarySection(levels: readonly ServiceLevel[]): Section {
    const rows = levels.map(level => [
        createCell(formatLevelName(level)),
        createCell(formatNumber.count(level.good + level.bad)),
        createCell(formatNumber.percent(level.objective)),
        createCell(formatNumber.percent(level.attainment, 2), findMark(level.attainment, level.objective)),
        createCell(
            formatNumber.percent(level.budgetLeft, 0),
            level.budgetLeft === undefined ? undefined : level.budgetLeft < 0 ? "bad" : "good",
        ),
        createCell(formatFiringAlerts(level), formatFiringAlerts(level) === "none" ? undefined : "bad"),
    ]);
    return {
        title: "Summary",
        text: "A request is good when the caller got a complete answer within every target of its class.",
        tables: [{ head: ["class / path", "events", "objective", "attained", "budget left", "alerts firing"], rows }],
        plots: [],
    };
}

function createBurnSection(levels: readonly ServiceLevel[]): Section {
    const windows = levels[0]?.burn.map(({ windowMs }) => windowMs) ?? [];
    const rows = levels.map(level => [
        createCell(formatLevelName(level)),
        ...level.burn.map(({ burnRate }) =>
            createCell(formatNumber.rate(burnRate), burnRate !== undefined && burnRate > 1 ? "bad" : undefined)
        ),
    ]);
    const plot = createTimePlot(levels, "Burn rate", "multiple of the error budget", (point, level) => {
        const events = point.good + point.bad;
        return events === 0 ? undefined : point.bad / events / (1 - level.objective);
    });
    return {
        title: "Error budget burn rate",
        text: "A burn rate of 1 spends exactly the error budget of the objective. A fast alert pages, a slow one opens a ticket.",
        tables: [{ head: ["class / path", ...windows.map(formatNumber.span)], rows }],
        plots: [{ ...plot, limit: { label: "budget", value: 1 } }],
    };
}

function createAttainmentSection(levels: readonly ServiceLevel[]): Section {
    const plot = createTimePlot(levels, "Attainment", "%", point => {
        const events = point.good + point.bad;
        return events === 0 ? undefined : point.good / events * 100;
    });
    return { title: "Attainment", text: "Share of good requests.", tables: [], plots: [{ ...plot, range: [0, 100] }] };
}

function createWaitingSection(levels: readonly ServiceLevel[]): Section {
    return {
        title: "Waiting",
        text:
            "Queue time from the arrival of a request until it is assigned an upstream. If short answers wait as long as all answers, long ones cause head-of-line blocking.",
        tables: [createDistributionTable(levels, ["queue", "short-queue"])],
        plots: [
            createTimePlot(levels, "Queue time, median", "ms", point => point.queueP50Ms),
            createTimePlot(levels, "Queue time, 99th percentile", "ms", point => point.queueP99Ms),
            createTimePlot(
                levels,
                "Queue time of short answers (at most 128 tokens), 99th percentile",
                "ms",
                point => point.shortQueueP99Ms,
            ),
        ],
    };
}

function createWastedWorkSection(levels: readonly ServiceLevel[]): Section {
    const computeWastedPercent = ({ outputTokens, wastedTokens }: Point) =>
        outputTokens + wastedTokens === 0 ? undefined : wastedTokens / (outputTokens + wastedTokens) * 100;
    const rows = levels.map(level => [
        createCell(formatLevelName(level)),
        createCell(formatNumber.count(level.outputTokens)),
        createCell(formatNumber.count(level.wastedTokens)),
    ]);
    return {
        title: "Wasted work",
        text: "Tokens that engines generated but that were not delivered to a caller.",
        tables: [{ head: ["class / path", "tokens delivered", "tokens wasted"], rows }],
        plots: [createTimePlot(levels, "Wasted tokens", "% of all tokens", computeWastedPercent)],
    };
}

function createPathsSection(levels: readonly ServiceLevel[]): Section {
    const classes = [...new Set(levels.map(level => level.serviceClass))];
    const rows = classes.flatMap(name => {
        const pathLevels = levels.filter(level => level.serviceClass === name);
        return pathLevels.length < 2 ? [] : pathLevels.map(level => [
            createCell(formatLevelName(level)),
            createCell(formatNumber.count(level.good + level.bad)),
            createCell(formatNumber.percent(level.attainment, 2), findMark(level.attainment, level.objective)),
            ...(["first-token", "token-gap", "total"] as const).flatMap(measure => {
                const distribution = level.distributions.find(candidate => candidate.measure === measure);
                return [createCell(formatNumber.duration(distribution?.p50Ms)), createCell(formatNumber.duration(distribution?.p99Ms))];
            }),
        ]);
    });
    const head = ["class / path", "events", "attained", "first token p50", "p99", "gap p50", "p99", "total p50", "p99"];
    const text = rows.length === 0 ? "No class had traffic on both paths." : "Classes with traffic on both paths.";
    return { title: "Old and new path", text, tables: rows.length === 0 ? [] : [{ head, rows }], plots: [] };
}

function createReasonsSection(levels: readonly ServiceLevel[]): Section {
    const rows = levels.flatMap(level =>
        Object.entries(level.badByReason).sort(([, left], [, right]) => right - left)
            .map(([reason, count]) => [createCell(formatLevelName(level)), createCell(reason), createCell(formatNumber.count(count))])
    );
    const text = rows.length === 0
        ? "Every request met the targets of its class."
        : "Run `orioleshelf explain --class CLASS` for examples.";
    return {
        title: "Why requests missed the targets of their class",
        text,
        tables: rows.length === 0 ? [] : [{ head: ["class / path", "reason", "requests"], rows }],
        plots: [],
    };
}

function createDistributionTable(levels: readonly ServiceLevel[], measures: readonly string[]): Section["tables"][number] {
    const rows = levels.flatMap(level =>
        level.distributions.filter(({ measure }) => measures.includes(measure)).map(distribution => [
            createCell(formatLevelName(level)),
            createCell(distribution.measure === "queue" ? "all" : "short answers"),
            createCell(formatNumber.count(distribution.count)),
            ...[distribution.p50Ms, distribution.p95Ms, distribution.p99Ms, distribution.maxMs].map(valueMs =>
                createCell(formatNumber.duration(valueMs))
            ),
        ])
    );
    return { head: ["class / path", "work", "requests", "p50", "p95", "p99", "max"], rows };
}

function createTimePlot(
    levels: readonly ServiceLevel[],
    title: string,
    unit: string,
    getValue: (point: Point, level: ServiceLevel) => number | undefined,
): Plot {
    const x = [...new Set(levels.flatMap(level => level.points.map(point => point.atMs)))].sort((left, right) => left - right);
    const classes = [...new Set(levels.map(level => level.serviceClass))];
    const lines = levels.map(level => {
        const byTime = new Map(level.points.map(point => [point.atMs, point]));
        return {
            label: formatLevelName(level),
            color: classes.indexOf(level.serviceClass),
            isDashed: level.path === "old",
            values: x.map(atMs => {
                const point = byTime.get(atMs);
                return point === undefined ? undefined : getValue(point, level);
            }),
        };
    });
    return { title, unit, axis: "time", axisTitle: "time", x, lines };
}

function formatLevelName(level: ServiceLevel): string {
    return `${level.serviceClass} / ${level.path}`;
}

function formatFiringAlerts(level: ServiceLevel): string {
    const firing = level.alerts.filter(alert => alert.firing);
    return firing.length === 0 ? "none" : firing.map(alert => `${alert.severity} (${formatNumber.span(alert.longWindowMs)})`).join(", ");
}

function findMark(attained: number | undefined, objective: number): Cell["mark"] {
    return attained === undefined ? undefined : attained >= objective ? "good" : "bad";
}

function createCell(text: string, mark?: Cell["mark"]): Cell {
    return { text, mark };
}
