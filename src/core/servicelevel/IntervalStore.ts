import type { ServiceLevelCell } from "../../schema/report/ServiceLevelCell.js";
import type { ServiceLevelInterval } from "../../schema/report/ServiceLevelInterval.js";
import { CellTable } from "./CellTable.js";

const minuteMs = 60_000;
const hourMs = 60 * minuteMs;
const minuteDetailMs = hourMs;
const minuteCountMs = 6 * hourMs + minuteMs;
const retentionMs = 72 * hourMs + hourMs;

/**
 * Keeps the intervals of one VM for three days: histograms by the minute for an hour, counts by the minute for six hours,
 * both by the hour beyond that. Nothing is counted twice: what moves to the hour leaves the minute.
 */
export class IntervalStore {
    private readonly minutes = new Map<number, ServiceLevelInterval>();
    private readonly hours = new Map<number, ServiceLevelInterval>();
    /** Starts of all minutes that were added, so that a second copy is known also when the minute has moved to its hour. */
    private readonly known = new Set<number>();

    /** Adds a closed interval of a minute; one with a start that is known already is dropped. False when dropped. */
    add(interval: ServiceLevelInterval): boolean {
        if (this.known.has(interval.startAtMs)) {
            return false;
        }
        this.known.add(interval.startAtMs);
        this.minutes.set(interval.startAtMs, interval);
        return true;
    }

    get isEmpty(): boolean {
        return this.minutes.size === 0 && this.hours.size === 0;
    }

    /** Moves what has grown old from minutes to hours and drops what is past retention. */
    compact(nowMs: number): void {
        const byHour = new Map<number, ServiceLevelCell[]>();
        for (const [startAtMs, minute] of this.minutes) {
            const ageMs = nowMs - startAtMs;
            if (ageMs <= minuteDetailMs) {
                continue;
            }
            const moved = minute.cells.map(ageMs > minuteCountMs ? cell => cell : detailsOf);
            if (moved.some(hasContent)) {
                const hour = startAtMs - startAtMs % hourMs;
                byHour.set(hour, [...byHour.get(hour) ?? [], ...moved]);
            }
            if (ageMs > minuteCountMs) {
                this.minutes.delete(startAtMs);
            }
            else {
                this.minutes.set(startAtMs, { ...minute, cells: minute.cells.map(countsOf) });
            }
        }
        for (const [startAtMs, cells] of byHour) {
            this.mergeHour(startAtMs, cells);
        }
        for (const startAtMs of [...this.hours.keys(), ...this.known]) {
            if (nowMs - startAtMs > retentionMs) {
                this.hours.delete(startAtMs);
                this.known.delete(startAtMs);
            }
        }
    }

    /** Intervals that reach past `sinceAtMs`. */
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

function detailsOf(cell: ServiceLevelCell): ServiceLevelCell {
    return { ...cell, good: 0, bad: 0, badByReason: {}, outputTokens: 0, wastedTokens: 0 };
}

function countsOf(cell: ServiceLevelCell): ServiceLevelCell {
    return { ...cell, histograms: {} };
}
