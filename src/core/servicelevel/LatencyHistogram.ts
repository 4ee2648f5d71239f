import { build, decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram } from "hdr-histogram-js";

const unitsPerMs = 10;
const maxUnits = 36_000_000;
const counterBits = 32;

/**
 * Histogram of durations up to one hour, accurate to 1%; longer ones count as one hour. Merging is exact: it equals recording all samples
 * in one histogram.
 */
export class LatencyHistogram {
    private readonly histogram: Histogram = build({
        bitBucketSize: counterBits,
        autoResize: false,
        lowestDiscernibleValue: 1,
        highestTrackableValue: maxUnits,
        numberOfSignificantValueDigits: 2,
    });

    get count(): number {
        return this.histogram.totalCount;
    }

    get maxMs(): number {
        return this.computePercentileMs(100);
    }

    record(durationMs: number): void {
        this.histogram.recordValue(Math.min(maxUnits, Math.max(0, Math.round(durationMs * unitsPerMs))));
    }

    /** Merges an encoded histogram; returns false and adds nothing if it cannot be decoded. */
    mergeEncoded(encoded: string): boolean {
        try {
            this.histogram.add(decodeFromCompressedBase64(encoded, counterBits, false));
            return true;
        }
        catch {
            return false;
        }
    }

    computePercentileMs(percentile: number): number {
        return this.count === 0 ? 0 : this.histogram.getValueAtPercentile(percentile) / unitsPerMs;
    }

    encode(): string {
        return encodeIntoCompressedBase64(this.histogram);
    }
}
