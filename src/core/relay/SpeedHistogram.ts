const bucketCount = 40;
/** Buckets are 15% wide: fine enough for a band from 0.75 to 1.35. */
const bucketsPerDoubling = 5;
const minValue = 2;
/**
 * Weights of observations halve in this time: engines slow down for up to some hundred milliseconds, and a lasting change is to show within
 * seconds.
 */
const halfLifeMs = 5_000;
/** Time between two updates of the weights, so that an observation costs no more than one addition. */
const decayIntervalMs = 250;
/** A peer cannot outweigh all others by a wrong count. */
const maxCount = 10_000;

/** Histogram with logarithmic buckets from 2 to 512, in which older observations weigh less. Adding a value allocates nothing. */
export class SpeedHistogram {
    private readonly weights = new Float64Array(bucketCount);
    private decayedAtMs = 0;
    private total = 0;

    /** Sum of the weights when they were last updated. */
    get weight(): number {
        return this.total;
    }

    add(value: number, nowMs: number): void {
        if (nowMs - this.decayedAtMs >= decayIntervalMs) {
            this.decay(nowMs);
        }
        const bucket = value <= minValue ? 0 : Math.min(bucketCount - 1, Math.floor(Math.log2(value / minValue) * bucketsPerDoubling));
        this.weights[bucket] = (this.weights[bucket] as number) + 1;
        this.total++;
    }

    /** Share of the weight of an observation that is left at this age. */
    static decayFactor(ageMs: number): number {
        return 2 ** (-Math.max(0, ageMs) / halfLifeMs);
    }

    /** Sum of the weights of the buckets of a report, without those that no histogram can have. */
    static sumWeights(buckets: readonly number[]): number {
        let sum = 0;
        for (let index = 1; index < buckets.length; index += 2) {
            const count = buckets[index] as number;
            sum += count > 0 && count <= maxCount ? count : 0;
        }
        return sum;
    }

    /** Adds the buckets of a report with this share of their weights; entries that no histogram can have are ignored. */
    addBuckets(buckets: readonly number[], factor: number): void {
        for (let index = 0; index + 1 < buckets.length; index += 2) {
            const bucket = buckets[index] as number;
            const count = buckets[index + 1] as number;
            if (Number.isInteger(bucket) && bucket >= 0 && bucket < bucketCount && count > 0 && count <= maxCount) {
                this.weights[bucket] = (this.weights[bucket] as number) + count * factor;
                this.total += count * factor;
            }
        }
    }

    /** Pairs of a bucket's index and its weight, rounded to tenths; empty buckets are left out. */
    toBuckets(nowMs: number): number[] {
        this.decay(nowMs);
        const buckets: number[] = [];
        for (let bucket = 0; bucket < bucketCount; bucket++) {
            const tenths = Math.round((this.weights[bucket] as number) * 10);
            if (tenths > 0) {
                buckets.push(bucket, tenths / 10);
            }
        }
        return buckets;
    }

    /** The value below which this share of the weight lies, interpolated within its bucket; undefined when empty. */
    quantile(share: number): number | undefined {
        let below = 0;
        for (let bucket = 0; bucket < bucketCount && this.total > 0; bucket++) {
            const weight = this.weights[bucket] as number;
            if (weight > 0 && below + weight >= share * this.total) {
                const position = bucket + (share * this.total - below) / weight;
                return minValue * 2 ** (position / bucketsPerDoubling);
            }
            below += weight;
        }
        return undefined;
    }

    clear(): void {
        this.weights.fill(0);
        this.total = 0;
    }

    private decay(nowMs: number): void {
        const factor = SpeedHistogram.decayFactor(nowMs - this.decayedAtMs);
        this.decayedAtMs = nowMs;
        this.total = 0;
        for (let bucket = 0; bucket < bucketCount; bucket++) {
            const weight = (this.weights[bucket] as number) * factor;
            this.weights[bucket] = weight;
            this.total += weight;
        }
    }
}
