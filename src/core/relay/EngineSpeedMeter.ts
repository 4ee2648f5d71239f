import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";
import type { EngineObservations } from "./EngineObservations.js";
import { SpeedHistogram } from "./SpeedHistogram.js";

/**
 * Quantile of the gaps that is compared. Long prompts stretch most gaps of a busy engine and slow moments some of any, so that only short gaps
 * show its own speed; bytes that arrive together shorten a few.
 */
const gapQuantile = 0.15;
/**
 * The gaps of an engine show its speed only if these two quantiles are nearly alike, as steps without prefill all take the same time. An engine
 * that prefills without a pause has gaps of all lengths.
 */
const spreadQuantiles = { low: 0.05, high: 0.25 };
const maxSpread = 1.3;
/** Gaps longer than this multiple of the shortest of all engines come from prefill in every step, which takes up to nine times as long. */
const maxGapRatio = 4;
/** Prompts that waited for others or were not cached raise most of the observed times. */
const prefillQuantile = 0.15;
/** Difference of the mean expected times in the two ranges of prefill times, with prompt lengths as the deployments specify them. */
const prefillDifferenceMs = 98;
/** A measured prefill speed beyond this says that the two times were measured badly. */
const maxPrefillSpeed = 4;
const minGapWeight = 20;
const minPrefillWeight = 40;

/** Measures the speeds of engines from what has been observed of their streams. */
export class EngineSpeedMeter {
    private readonly merged = new SpeedHistogram();

    constructor(private readonly observations: EngineObservations) {}

    /**
     * Speeds relative to the median engine, of the engines with enough observations. The gaps of long and short prompts are compared apart, as
     * their events may differ in size.
     */
    measureSpeeds(engines: readonly RelayUpstream[], nowMs: number): ReadonlyMap<string, number> {
        const totals = new Map<string, { sum: number; weight: number; }>();
        for (const kind of ["shortGaps", "longGaps"] as const) {
            const gaps: { readonly id: string; readonly gapMs: number; readonly weight: number; }[] = [];
            for (const engine of engines) {
                this.merged.clear();
                this.observations.addTo(this.merged, engine, kind, nowMs);
                const gapMs = this.merged.quantile(gapQuantile);
                if (gapMs !== undefined && this.merged.weight >= minGapWeight && this.isConcentrated()) {
                    gaps.push({ id: engine.id, gapMs, weight: this.merged.weight });
                }
            }
            const shortestMs = Math.min(...gaps.map(({ gapMs }) => gapMs));
            const plausibleGaps = gaps.filter(({ gapMs }) => gapMs <= shortestMs * maxGapRatio);
            const medianGapMs = computeMedian(plausibleGaps.map(({ gapMs }) => gapMs));
            for (const { id, gapMs, weight } of plausibleGaps) {
                const total = totals.get(id) ?? { sum: 0, weight: 0 };
                total.sum += medianGapMs / gapMs * weight;
                total.weight += weight;
                totals.set(id, total);
            }
        }
        const speeds = new Map([...totals].map(([id, { sum, weight }]) => [id, sum / weight]));
        const medianSpeed = computeMedian([...speeds.values()]);
        return new Map([...speeds].map(([id, speed]) => [id, speed / medianSpeed]));
    }

    /** Prefill speed of these engines together, from prompts of two lengths; undefined where the observations do not show it. */
    measurePrefillSpeed(engines: readonly RelayUpstream[], nowMs: number): number | undefined {
        const shortMs = this.measureFirstEventMs("shortPrefills", engines, nowMs);
        const longMs = this.measureFirstEventMs("longPrefills", engines, nowMs);
        if (shortMs === undefined || longMs === undefined || longMs <= shortMs) {
            return undefined;
        }
        return Math.min(maxPrefillSpeed, prefillDifferenceMs / (longMs - shortMs));
    }

    private isConcentrated(): boolean {
        const low = this.merged.quantile(spreadQuantiles.low) ?? 0;
        return (this.merged.quantile(spreadQuantiles.high) ?? Infinity) <= low * maxSpread;
    }

    private measureFirstEventMs(
        kind: "shortPrefills" | "longPrefills",
        engines: readonly RelayUpstream[],
        nowMs: number,
    ): number | undefined {
        this.merged.clear();
        for (const engine of engines) {
            this.observations.addTo(this.merged, engine, kind, nowMs);
        }
        return this.merged.weight < minPrefillWeight ? undefined : this.merged.quantile(prefillQuantile);
    }
}

function computeMedian(values: readonly number[]): number {
    const sorted = [...values].sort((left, right) => left - right);
    const middle = sorted.length >> 1;
    return sorted.length % 2 === 1 ? sorted[middle] ?? 1 : ((sorted[middle - 1] ?? 1) + (sorted[middle] ?? 1)) / 2;
}
