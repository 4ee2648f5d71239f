interface Sample {
    readonly excessMs: number;
    readonly recordedMs: number;
}

/** A VM of a large fleet sees about one call of a route in two seconds: 20 of them need 40 s, and the percentile is of one minute at least. */
const maxSampleAgeMs = 120_000;
const maxSamples = 64;
/** With fewer samples a 95th percentile is the largest value. */
const minSamples = 20;

/** First-answer times of the recent calls of a route on a service, less the time that was expected for each of them. */
export class FirstAnswerTimes {
    private samples: Sample[] = [];

    record(excessMs: number, nowMs: number): void {
        this.samples.push({ excessMs, recordedMs: nowMs });
        if (this.samples.length > maxSamples) {
            this.samples.shift();
        }
    }

    /** Returns these percentiles, between 0 and 1; undefined while there are too few recent samples. */
    computePercentiles(percentiles: readonly number[], nowMs: number): number[] | undefined {
        this.samples = this.samples.filter(({ recordedMs }) => nowMs - recordedMs <= maxSampleAgeMs);
        if (this.samples.length < minSamples) {
            return undefined;
        }
        const sorted = this.samples.map(({ excessMs }) => excessMs).sort((left, right) => left - right);
        return percentiles.map(percentile => sorted[Math.ceil(percentile * sorted.length) - 1] ?? 0);
    }
}
