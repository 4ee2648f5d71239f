import type { ServiceLevelCell } from "../../schema/report/ServiceLevelCell.js";
import type { ServiceLevelInterval } from "../../schema/report/ServiceLevelInterval.js";
import { CellTable } from "./CellTable.js";

const minuteMs = 60_000;
const hourMs = 60 * minuteMs;
const minuteHistogramRetentionMs = hourMs;
// Ages are counted from the start of an interval, so its duration is added to keep it until its end is 6 or 72 hours old.
const minuteCountRetentionMs = 6 * hourMs + minuteMs;
const hourRetentionMs = 72 * hourMs + hourMs;

/**
 * Stores the service-level intervals of one VM for three days: histograms per minute for one hour, counts per minute for six hours, and
 * both per hour after that. Data that is merged into an hour is removed from its minute, so that nothing is counted twice.
 */
export class IntervalStore {
    private readonly minutes = new Map<number, ServiceLevelInterval>();
    private readonly hours = new Map<number, ServiceLevelInterval>();
    /** Start times of all added minutes, to detect duplicates even after a minute has been merged into its hour. */
    private readonly knownStartTimesMs = new Set<number>();

    /** Adds a completed one-minute interval; returns false and drops it if one with the same start time was added before. */
    add(interval: ServiceLevelInterval): boolean {
        if (this.knownStartTimesMs.has(interval.startAtMs)) {
            return false;
        }
        this.knownStartTimesMs.add(interval.startAtMs);
        this.minutes.set(interval.startAtMs, interval);
        return true;
    }

    get isEmpty(): boolean {
        return this.minutes.size === 0 && this.hours.size === 0;
    }

    /** Merges old minutes into hours and deletes intervals past their retention. */
    compact(nowMs: number): void {
        const movedCellsByHour = new Map<number, ServiceLevelCell[]>();
        for (const [startAtMs, minute] of this.minutes) {
            const ageMs = nowMs - startAtMs;
            if (ageMs <= minuteHistogramRetentionMs) {
                continue;
            }
            const movedCells = minute.cells.map(ageMs > minuteCountRetentionMs ? cell => cell : withoutCounts);
            if (movedCells.some(hasContent)) {
                const hourStartAtMs = startAtMs - startAtMs % hourMs;
                movedCellsByHour.set(hourStartAtMs, [...movedCellsByHour.get(hourStartAtMs) ?? [], ...movedCells]);
            }
            if (ageMs > minuteCountRetentionMs) {
                this.minutes.delete(startAtMs);
            }
            else {
                this.minutes.set(startAtMs, { ...minute, cells: minute.cells.map(withoutHistograms) });
            }
        }
        for (const [startAtMs, cells] of movedCellsByHour) {
            this.mergeHour(startAtMs, cells);
        }
        for (const startAtMs of [...this.hours.keys(), ...this.knownStartTimesMs]) {
            if (nowMs - startAtMs > hourRetentionMs) {
                this.hours.delete(startAtMs);
                this.knownStartTimesMs.delete(startAtMs);
            }
        }
    }

    /** Intervals that end after `sinceAtMs`. */
    since(sinceAtMs: number): ServiceLevelInterval[] {
        return [...this.hours.values(), ...this.minutes.values()].filter(interval => interval.startAtMs + interval.durationMs > sinceAtMs);
    }

    private mergeHour(startAtMs: number, cells: readonly ServiceLevelCell[]): void {
        const table = new CellTable();
        for (const cell of [...this.hours.get(startAtMs)?.cells ?? [], ...cells]) {
            table.merge(cell);
        }
        this.hours.set(startAtMs, { startAtMs, durationMs: hourMs, cells: table.toCells() });
    }
}

function hasContent(cell: ServiceLevelCell): boolean {
    return cell.good + cell.bad + cell.outputTokens + cell.wastedTokens > 0 || Object.keys(cell.histograms).length > 0;
}

function withoutCounts(cell: ServiceLevelCell): ServiceLevelCell {
    return { ...cell, good: 0, bad: 0, badByReason: {}, outputTokens: 0, wastedTokens: 0 };
}

function withoutHistograms(cell: ServiceLevelCell): ServiceLevelCell {
    return { ...cell, histograms: {} };
}
