import type { ServiceLevel } from "../../schema/report/ServiceLevel.js";
import type { ServiceLevelReport } from "../../schema/report/ServiceLevelReport.js";
import type { PageModel } from "../page/PageModel.js";
import { buildReportNotes } from "./buildReportNotes.js";
import { formatNumber } from "./formatNumber.js";

type Section = PageModel["sections"][number];
type Plot = Section["plots"][number];
type Cell = Section["tables"][number]["rows"][number][number];
type Point = ServiceLevel["points"][number];

/** The report as a page with tables and plots. */
export function buildReportPage(report: ServiceLevelReport): PageModel {
    const { levels } = report;
    return {
        title: "orioleshelf service levels",
        subtitle: `${new Date(report.sinceAtMs).toISOString()} to ${
            new Date(report.generatedAtMs).toISOString()
        }, counted on ${report.vms.length} VMs`,
        notes: buildReportNotes(report),
        sections: [
            summary(levels),
            burn(levels),
            attainment(levels),
            waiting(levels),
            wastedWork(levels),
            paths(levels),
            reasons(levels),
        ],
    };
}

function summary(levels: readonly ServiceLevel[]): Section {
    const rows = levels.map(level => [
        cell(nameOf(level)),
        cell(formatNumber.count(level.good + level.bad)),
        cell(formatNumber.percent(level.objective)),
        cell(formatNumber.percent(level.attainment, 2), markOf(level.attainment, level.objective)),
        cell(formatNumber.percent(level.budgetLeft, 0), level.budgetLeft === undefined ? undefined : level.budgetLeft < 0 ? "bad" : "good"),
        cell(firingOf(level), firingOf(level) === "none" ? undefined : "bad"),
    ]);
    return {
        title: "Summary",
        text: "A request is good when the caller got its whole answer within every target of its class.",
        tables: [{ head: ["class / path", "events", "objective", "attained", "budget left", "alerts firing"], rows }],
        plots: [],
    };
}

function burn(levels: readonly ServiceLevel[]): Section {
    const windows = levels[0]?.burn.map(({ windowMs }) => windowMs) ?? [];
    const rows = levels.map(level => [
        cell(nameOf(level)),
        ...level.burn.map(({ burnRate }) => cell(formatNumber.rate(burnRate), burnRate !== undefined && burnRate > 1 ? "bad" : undefined)),
    ]);
    const plot = overTime(levels, "Burn rate", "times budget", (point, level) => {
        const events = point.good + point.bad;
        return events === 0 ? undefined : point.bad / events / (1 - level.objective);
    });
    return {
        title: "Burn of the error budget",
        text: "1 spends exactly the budget of the objective. A fast alert pages, a slow one opens a ticket.",
        tables: [{ head: ["class / path", ...windows.map(formatNumber.span)], rows }],
        plots: [{ ...plot, limit: { label: "budget", value: 1 } }],
    };
}

function attainment(levels: readonly ServiceLevel[]): Section {
    const plot = overTime(levels, "Attainment", "%", point => {
        const events = point.good + point.bad;
        return events === 0 ? undefined : point.good / events * 100;
    });
    return { title: "Attainment", text: "Share of good requests.", tables: [], plots: [{ ...plot, range: [0, 100] }] };
}

function waiting(levels: readonly ServiceLevel[]): Section {
    return {
        title: "Waiting",
        text:
            "From the arrival of a request until it is given an upstream. When short work waits as long as all work, it stands behind long work.",
        tables: [distributionTable(levels, ["queue", "short-queue"])],
        plots: [
            overTime(levels, "Queue time, median", "ms", point => point.queueP50Ms),
            overTime(levels, "Queue time, 99th percentile", "ms", point => point.queueP99Ms),
            overTime(levels, "Queue time of short answers (at most 128 tokens), 99th percentile", "ms", point => point.shortQueueP99Ms),
        ],
    };
}

function wastedWork(levels: readonly ServiceLevel[]): Section {
    const shareOf = ({ outputTokens, wastedTokens }: Point) =>
        outputTokens + wastedTokens === 0 ? undefined : wastedTokens / (outputTokens + wastedTokens) * 100;
    const rows = levels.map(level => [
        cell(nameOf(level)),
        cell(formatNumber.count(level.outputTokens)),
        cell(formatNumber.count(level.wastedTokens)),
    ]);
    return {
        title: "Wasted work",
        text: "Tokens that engines produced and no caller got.",
        tables: [{ head: ["class / path", "tokens to callers", "tokens wasted"], rows }],
        plots: [overTime(levels, "Wasted tokens", "% of all tokens", shareOf)],
    };
}

function paths(levels: readonly ServiceLevel[]): Section {
    const classes = [...new Set(levels.map(level => level.serviceClass))];
    const rows = classes.flatMap(name => {
        const both = levels.filter(level => level.serviceClass === name);
        return both.length < 2 ? [] : both.map(level => [
            cell(nameOf(level)),
            cell(formatNumber.count(level.good + level.bad)),
            cell(formatNumber.percent(level.attainment, 2), markOf(level.attainment, level.objective)),
            ...(["first-token", "token-gap", "total"] as const).flatMap(measure => {
                const found = level.distributions.find(distribution => distribution.measure === measure);
                return [cell(formatNumber.duration(found?.p50Ms)), cell(formatNumber.duration(found?.p99Ms))];
            }),
        ]);
    });
    const head = ["class / path", "events", "attained", "first token p50", "p99", "gap p50", "p99", "whole p50", "p99"];
    const text = rows.length === 0 ? "No class had traffic on both paths." : "Classes with traffic on both paths.";
    return { title: "Old and new path", text, tables: rows.length === 0 ? [] : [{ head, rows }], plots: [] };
}

function reasons(levels: readonly ServiceLevel[]): Section {
    const rows = levels.flatMap(level =>
        Object.entries(level.badByReason).sort(([, left], [, right]) => right - left)
            .map(([reason, count]) => [cell(nameOf(level)), cell(reason), cell(formatNumber.count(count))])
    );
    const text = rows.length === 0 ? "Every request attained its class." : "Use `orioleshelf explain --class CLASS` for examples.";
    return {
        title: "Why requests missed their class",
        text,
        tables: rows.length === 0 ? [] : [{ head: ["class / path", "reason", "requests"], rows }],
        plots: [],
    };
}

function distributionTable(levels: readonly ServiceLevel[], measures: readonly string[]): Section["tables"][number] {
    const rows = levels.flatMap(level =>
        level.distributions.filter(({ measure }) => measures.includes(measure)).map(found => [
            cell(nameOf(level)),
            cell(found.measure === "queue" ? "all" : "short answers"),
            cell(formatNumber.count(found.count)),
            ...[found.p50Ms, found.p95Ms, found.p99Ms, found.maxMs].map(valueMs => cell(formatNumber.duration(valueMs))),
        ])
    );
    return { head: ["class / path", "work", "requests", "p50", "p95", "p99", "max"], rows };
}

function overTime(
    levels: readonly ServiceLevel[],
    title: string,
    unit: string,
    valueOf: (point: Point, level: ServiceLevel) => number | undefined,
): Plot {
    const x = [...new Set(levels.flatMap(level => level.points.map(point => point.atMs)))].sort((left, right) => left - right);
    const classes = [...new Set(levels.map(level => level.serviceClass))];
    const lines = levels.map(level => {
        const byTime = new Map(level.points.map(point => [point.atMs, point]));
        return {
            label: nameOf(level),
            color: classes.indexOf(level.serviceClass),
            isDashed: level.path === "old",
            values: x.map(atMs => {
                const point = byTime.get(atMs);
                return point === undefined ? undefined : valueOf(point, level);
            }),
        };
    });
    return { title, unit, axis: "time", axisTitle: "time", x, lines };
}

function nameOf(level: ServiceLevel): string {
    return `${level.serviceClass} / ${level.path}`;
}

function firingOf(level: ServiceLevel): string {
    const firing = level.alerts.filter(alert => alert.firing);
    return firing.length === 0 ? "none" : firing.map(alert => `${alert.severity} (${formatNumber.span(alert.longWindowMs)})`).join(", ");
}

function markOf(attained: number | undefined, objective: number): Cell["mark"] {
    return attained === undefined ? undefined : attained >= objective ? "good" : "bad";
}

function cell(text: string, mark?: Cell["mark"]): Cell {
    return { text, mark };
}
