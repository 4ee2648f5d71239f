import type { ServiceLevel } from "../../schema/report/ServiceLevel.js";
import type { ServiceLevelReport } from "../../schema/report/ServiceLevelReport.js";
import { alignColumns } from "./alignColumns.js";
import { buildReportNotes } from "./buildReportNotes.js";
import { formatNumber } from "./formatNumber.js";

const firstTokenPercentile = "p95Ms";

/** Formats a report as lines for a terminal. */
export function formatReport(report: ServiceLevelReport): string[] {
    const span = formatNumber.span(report.generatedAtMs - report.sinceAtMs);
    const lines = [`service levels over ${span}, ${report.vms.length} VMs, ${new Date(report.generatedAtMs).toISOString()}`];
    if (report.levels.length === 0) {
        return [...lines, ...buildReportNotes(report), "no requests in this time range"];
    }
    const windows = report.levels[0]?.burn.map(({ windowMs }) => `burn ${formatNumber.span(windowMs)}`) ?? [];
    const head = [
        "class/path",
        "events",
        "objective",
        "attained",
        "budget left",
        ...windows,
        "queue p99",
        "short queue p99",
        "first token p95",
        "wasted",
        "alerts",
    ];
    return [
        ...lines,
        ...buildReportNotes(report),
        "",
        ...alignColumns([head, ...report.levels.map(formatRow)]),
        ...formatMissReasons(report.levels),
    ];
}

function formatRow(level: ServiceLevel): string[] {
    const findDistribution = (measure: string) => level.distributions.find(candidate => candidate.measure === measure);
    const generatedTokens = level.outputTokens + level.wastedTokens;
    return [
        `${level.serviceClass}/${level.path}`,
        formatNumber.count(level.good + level.bad),
        formatNumber.percent(level.objective),
        formatNumber.percent(level.attainment, 2),
        formatNumber.percent(level.budgetLeft, 0),
        ...level.burn.map(({ burnRate }) => formatNumber.rate(burnRate)),
        formatNumber.duration(findDistribution("queue")?.p99Ms),
        formatNumber.duration(findDistribution("short-queue")?.p99Ms),
        formatNumber.duration(findDistribution("first-token")?.[firstTokenPercentile]),
        formatNumber.percent(generatedTokens === 0 ? undefined : level.wastedTokens / generatedTokens),
        formatAlerts(level),
    ];
}

function formatAlerts(level: ServiceLevel): string {
    const firing = level.alerts.filter(alert => alert.firing).map(alert => `${alert.severity} ${formatNumber.span(alert.longWindowMs)}`);
    return firing.length === 0 ? "none" : firing.join(", ");
}

function formatMissReasons(levels: readonly ServiceLevel[]): string[] {
    const missed = levels.filter(level => level.bad > 0).map(level => {
        const reasons = Object.entries(level.badByReason).sort(([, left], [, right]) => right - left);
        return `  ${level.serviceClass}/${level.path}: ${
            reasons.map(([reason, count]) => `${reason} ${formatNumber.count(count)}`).join(", ")
        }`;
    });
    return missed.length === 0 ? [] : ["", "why requests missed the targets of their class:", ...missed];
}
