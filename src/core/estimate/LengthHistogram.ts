const bucketsPerDoubling = 4;
const bucketCount = 72;
/** Above this the weights are scaled down, far from the limits of a double. */
const rescaleAbove = 1e12;

const bucketLengths = Float64Array.from(
    Array(bucketCount).keys(),
    bucket => (bucket === 0 ? 1 : 2 ** ((bucket - 0.5) / bucketsPerDoubling)),
);

/** Decaying histogram of lengths in logarithmic buckets, each about 19% wide. */
export class LengthHistogram {
    private readonly weights = new Float64Array(bucketCount);
    private totalWeight = 0;
    private nextWeight = 1;

    /** Each new observation weighs `1 + growth` times the one before, which is the same as letting the old ones decay. */
    constructor(private readonly growth: number) {}

    static bucketOf(length: number): number {
        if (length <= 1) {
            return 0;
        }
        return Math.min(bucketCount - 1, Math.floor(Math.log2(length) * bucketsPerDoubling) + 1);
    }

    /** Geometric middle of a bucket. */
    static lengthOf(bucket: number): number {
        return bucketLengths[bucket] as number;
    }

    static get bucketCount(): number {
        return bucketCount;
    }

    /** Observations that still count, at most about 1 / growth. */
    get effectiveCount(): number {
        return this.totalWeight / this.nextWeight;
    }

    observe(length: number): void {
        this.nextWeight *= 1 + this.growth;
        const bucket = LengthHistogram.bucketOf(length);
        this.weights[bucket] = (this.weights[bucket] as number) + this.nextWeight;
        this.totalWeight += this.nextWeight;
        if (this.nextWeight > rescaleAbove) {
            this.rescale();
        }
    }

    /** Share of observations in a bucket; 0 while there are none. */
    share(bucket: number): number {
        return this.totalWeight === 0 ? 0 : (this.weights[bucket] as number) / this.totalWeight;
    }

    private rescale(): void {
        for (let bucket = 0; bucket < bucketCount; bucket++) {
            this.weights[bucket] = (this.weights[bucket] as number) / this.nextWeight;
        }
        this.totalWeight /= this.nextWeight;
        this.nextWeight = 1;
    }
}
