import type { ServiceLevelCell } from "../../schema/report/ServiceLevelCell.js";
import { LatencyHistogram } from "./LatencyHistogram.js";
import type { LatencyMeasure } from "./LatencyMeasure.js";
import { latencyMeasures } from "./latencyMeasures.js";
import type { RequestSample } from "./RequestSample.js";
import type { Verdict } from "./Verdict.js";

/** A request with at most this many output tokens is counted as short. */
const maxShortTokens = 128;
const maxReasons = 16;
const otherReason = "other";

/** Counts the requests of one service class on one path. */
export class CellCounter {
    good = 0;
    bad = 0;
    outputTokens = 0;
    wastedTokens = 0;
    readonly badByReason = new Map<string, number>();
    private readonly histograms = new Map<LatencyMeasure, LatencyHistogram>();

    constructor(readonly serviceClass: string, readonly path: "old" | "new") {}

    /** Counts one request. Excluded requests add to token counts and histograms, but are neither good nor bad. */
    add(sample: RequestSample, verdict: Verdict): void {
        if (verdict.kind === "good") {
            this.good++;
        }
        else if (verdict.kind === "bad") {
            this.bad++;
            this.addReason(verdict.reason, 1);
        }
        this.outputTokens += sample.tokens;
        this.wastedTokens += sample.wastedTokens;
        this.record("queue", sample.queueMs);
        this.record("first-token", sample.firstTokenMs);
        this.record("token-gap", sample.meanTokenGapMs);
        this.record("total", sample.isComplete ? sample.totalMs : undefined);
        this.record("short-queue", sample.isComplete && sample.tokens <= maxShortTokens ? sample.queueMs : undefined);
    }

    /** Adds the counts of a cell, from this or another VM. */
    merge(cell: ServiceLevelCell): void {
        this.good += cell.good;
        this.bad += cell.bad;
        this.outputTokens += cell.outputTokens;
        this.wastedTokens += cell.wastedTokens;
        for (const [reason, count] of Object.entries(cell.badByReason)) {
            this.addReason(reason, count);
        }
        for (const measure of latencyMeasures) {
            const encoded = cell.histograms[measure];
            if (encoded !== undefined) {
                this.getOrCreateHistogram(measure).mergeEncoded(encoded);
            }
        }
    }

    /** The histogram of a measure; creates an empty one if nothing has been recorded. */
    getOrCreateHistogram(measure: LatencyMeasure): LatencyHistogram {
        const existing = this.histograms.get(measure);
        if (existing !== undefined) {
            return existing;
        }
        const histogram = new LatencyHistogram();
        this.histograms.set(measure, histogram);
        return histogram;
    }

    hasHistogram(measure: LatencyMeasure): boolean {
        return this.histograms.has(measure);
    }

    toCell(): ServiceLevelCell {
        return {
            serviceClass: this.serviceClass,
            path: this.path,
            good: this.good,
            bad: this.bad,
            badByReason: Object.fromEntries(this.badByReason),
            outputTokens: this.outputTokens,
            wastedTokens: this.wastedTokens,
            histograms: Object.fromEntries([...this.histograms].map(([measure, histogram]) => [measure, histogram.encode()])),
        };
    }

    private record(measure: LatencyMeasure, valueMs: number | undefined): void {
        if (valueMs !== undefined) {
            this.getOrCreateHistogram(measure).record(valueMs);
        }
    }

    private addReason(reason: string, count: number): void {
        const name = this.badByReason.has(reason) || this.badByReason.size < maxReasons ? reason : otherReason;
        this.badByReason.set(name, (this.badByReason.get(name) ?? 0) + count);
    }
}
