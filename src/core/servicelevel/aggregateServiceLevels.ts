import type { ServiceLevel } from "../../schema/report/ServiceLevel.js";
import type { ServiceLevelInterval } from "../../schema/report/ServiceLevelInterval.js";
import { alertRules } from "./alertRules.js";
import { burnRateWindowsMs } from "./burnRateWindowsMs.js";
import type { CellCounter } from "./CellCounter.js";
import { CellTable } from "./CellTable.js";
import { computeBurnRate } from "./computeBurnRate.js";
import { latencyMeasures } from "./latencyMeasures.js";

const minuteMs = 60_000;
const hourMs = 60 * minuteMs;
/** With fewer events in the long window, the burn rate is too uncertain for an alert. */
const minAlertEvents = 10;

interface ReportSpan {
    readonly sinceAtMs: number;
    readonly nowMs: number;
}

/**
 * Aggregates the intervals of all VMs into one service level per class and path. `pause` is awaited after each interval, so that a large
 * report does not block the event loop.
 */
export async function aggregateServiceLevels(
    intervals: readonly ServiceLevelInterval[],
    span: ReportSpan,
    objectiveOf: (serviceClass: string) => number,
    pause: () => Promise<void>,
): Promise<ServiceLevel[]> {
    const isByMinute = span.nowMs - span.sinceAtMs <= hourMs;
    const pointMs = isByMinute ? minuteMs : hourMs;
    const totals = new CellTable();
    const points = new Map<number, CellTable>();
    const windows = new Map(burnRateWindowsMs.map(windowMs => [windowMs, new CellTable()]));
    for (const interval of intervals) {
        addToWindows(windows, interval, span.nowMs);
        const isIncluded = !isByMinute || interval.durationMs <= minuteMs;
        if (isIncluded && interval.startAtMs + interval.durationMs > span.sinceAtMs) {
            const point = getOrCreateTable(points, interval.startAtMs - interval.startAtMs % pointMs);
            for (const cell of interval.cells) {
                totals.merge(cell);
                point.merge({ ...cell, histograms: { "queue": cell.histograms.queue, "short-queue": cell.histograms["short-queue"] } });
            }
        }
        await pause();
    }
    return [...totals.values()].map(total => toLevel(total, objectiveOf(total.serviceClass), windows, points)).sort(compareNames);
}

function addToWindows(windows: ReadonlyMap<number, CellTable>, interval: ServiceLevelInterval, nowMs: number): void {
    for (const [windowMs, table] of windows) {
        // Exact for windows of up to six hours: counts that recent are still in one-minute intervals.
        if (interval.startAtMs + minuteMs > nowMs - windowMs) {
            for (const cell of interval.cells) {
                table.merge({ ...cell, histograms: {} });
            }
        }
    }
}

function getOrCreateTable(points: Map<number, CellTable>, atMs: number): CellTable {
    const table = points.get(atMs) ?? new CellTable();
    points.set(atMs, table);
    return table;
}

function toLevel(
    total: CellCounter,
    objective: number,
    windows: ReadonlyMap<number, CellTable>,
    points: ReadonlyMap<number, CellTable>,
): ServiceLevel {
    const { serviceClass, path, good, bad } = total;
    const spent = computeBurnRate(good, bad, objective);
    const burn = [...windows].map(([windowMs, table]) => {
        const cell = table.getOrCreateCell(serviceClass, path);
        return { windowMs, good: cell.good, bad: cell.bad, burnRate: computeBurnRate(cell.good, cell.bad, objective) };
    });
    return {
        serviceClass,
        path,
        objective,
        good,
        bad,
        attainment: good + bad === 0 ? undefined : good / (good + bad),
        budgetLeft: spent === undefined ? undefined : 1 - spent,
        burn,
        alerts: toAlerts(burn),
        badByReason: Object.fromEntries(total.badByReason),
        distributions: latencyMeasures.filter(measure => total.hasHistogram(measure)).map(measure => {
            const histogram = total.getOrCreateHistogram(measure);
            return {
                measure,
                count: histogram.count,
                p50Ms: histogram.computePercentileMs(50),
                p95Ms: histogram.computePercentileMs(95),
                p99Ms: histogram.computePercentileMs(99),
                maxMs: histogram.maxMs,
            };
        }),
        outputTokens: total.outputTokens,
        wastedTokens: total.wastedTokens,
        points: [...points].sort(([left], [right]) => left - right).map(([atMs, table]) =>
            toPoint(atMs, table.getOrCreateCell(serviceClass, path))
        ),
    };
}

function toAlerts(burn: ServiceLevel["burn"]): ServiceLevel["alerts"] {
    return alertRules.map(rule => {
        const long = burn.find(window => window.windowMs === rule.longWindowMs);
        const short = burn.find(window => window.windowMs === rule.shortWindowMs);
        const events = (long?.good ?? 0) + (long?.bad ?? 0);
        const isBurning = (long?.burnRate ?? 0) >= rule.threshold && (short?.burnRate ?? 0) >= rule.threshold;
        return { ...rule, firing: isBurning && events >= minAlertEvents };
    });
}

function toPoint(atMs: number, cell: CellCounter): ServiceLevel["points"][number] {
    return {
        atMs,
        good: cell.good,
        bad: cell.bad,
        queueP50Ms: cell.hasHistogram("queue") ? cell.getOrCreateHistogram("queue").computePercentileMs(50) : undefined,
        queueP99Ms: cell.hasHistogram("queue") ? cell.getOrCreateHistogram("queue").computePercentileMs(99) : undefined,
        shortQueueP99Ms: cell.hasHistogram("short-queue") ? cell.getOrCreateHistogram("short-queue").computePercentileMs(99) : undefined,
        outputTokens: cell.outputTokens,
        wastedTokens: cell.wastedTokens,
    };
}

function compareNames(left: ServiceLevel, right: ServiceLevel): number {
    const [leftName, rightName] = [`${left.serviceClass}/${left.path}`, `${right.serviceClass}/${right.path}`];
    return leftName < rightName ? -1 : leftName > rightName ? 1 : 0;
}
