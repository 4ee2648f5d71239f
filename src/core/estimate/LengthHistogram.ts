const bucketsPerDoubling = 4;
/** The last bucket holds all lengths from 2 ** 17.5 (about 185,000) tokens. */
const bucketCount = 72;
/** Weights are scaled down above this value, far below the limits of a double. */
const rescaleThreshold = 1e12;

const bucketLengths = Float64Array.from(
    Array(bucketCount).keys(),
    bucket => (bucket === 0 ? 1 : 2 ** ((bucket - 0.5) / bucketsPerDoubling)),
);

/** Decaying histogram of lengths in tokens, in logarithmic buckets that are each about 19% wide. */
export class LengthHistogram {
    private readonly weights = new Float64Array(bucketCount);
    private totalWeight = 0;
    private latestWeight = 1;

    /** Each observation weighs `1 + weightGrowth` times the previous one, which is equivalent to decaying the older ones. */
    constructor(private readonly weightGrowth: number) {}

    /** Index of the bucket that holds a length. */
    static bucketOf(length: number): number {
        if (length <= 1) {
            return 0;
        }
        return Math.min(bucketCount - 1, Math.floor(Math.log2(length) * bucketsPerDoubling) + 1);
    }

    /** Representative length of a bucket: its geometric mean. */
    static lengthOf(bucket: number): number {
        return bucketLengths[bucket] as number;
    }

    static get bucketCount(): number {
        return bucketCount;
    }

    /** Effective number of observations after decay, at most about 1 / `weightGrowth`. */
    get effectiveCount(): number {
        return this.totalWeight / this.latestWeight;
    }

    observe(length: number): void {
        this.latestWeight *= 1 + this.weightGrowth;
        const bucket = LengthHistogram.bucketOf(length);
        this.weights[bucket] = (this.weights[bucket] as number) + this.latestWeight;
        this.totalWeight += this.latestWeight;
        if (this.latestWeight > rescaleThreshold) {
            this.rescale();
        }
    }

    /** Weighted fraction of the observations in a bucket; 0 without observations. */
    share(bucket: number): number {
        return this.totalWeight === 0 ? 0 : (this.weights[bucket] as number) / this.totalWeight;
    }

    private rescale(): void {
        for (let bucket = 0; bucket < bucketCount; bucket++) {
            this.weights[bucket] = (this.weights[bucket] as number) / this.latestWeight;
        }
        this.totalWeight /= this.latestWeight;
        this.latestWeight = 1;
    }
}
