import { LengthHistogram } from "./LengthHistogram.js";
import type { LengthKey } from "./LengthKey.js";

const growthPerObservation = 1 / 256;
/** Observations of a wider group that a narrower one starts from. */
const priorCount = 8;
/** Most customers remembered; the least recently seen goes first. */
const maxNarrowGroups = 8_192;
/** Observations after which a remembered mean is worked out anew. */
const meanLifetime = 16;
/** Lengths assumed for a service that nothing is known of. */
const coldStartLengths = [32, 64, 128, 256, 512, 1024];

/** Learns the distribution of output lengths by service, class and customer; a group with few answers borrows from the wider one. */
export class OutputLengthEstimator {
    private readonly byService = new Map<string, LengthHistogram>();
    private readonly byClass = new Map<string, LengthHistogram>();
    private readonly byCustomer = new Map<string, LengthHistogram>();
    /** Means of whole answers, worked out anew after some observations. */
    private readonly startMeans = new Map<string, { mean: number; observations: number; maxTokens: number; }>();
    private observations = 0;
    private readonly mixed = new Float64Array(LengthHistogram.bucketCount);

    /** Learns from an answer that came to its end. */
    observe(key: LengthKey, outputTokens: number): void {
        this.observations++;
        histogramOf(this.byService, key.service).observe(outputTokens);
        histogramOf(this.byClass, classKey(key)).observe(outputTokens);
        histogramOf(this.byCustomer, customerKey(key)).observe(outputTokens);
        if (this.byCustomer.size > maxNarrowGroups) {
            const oldest = this.byCustomer.keys().next().value as string;
            this.byCustomer.delete(oldest);
            this.startMeans.delete(oldest);
        }
    }

    /** Length that a share `quantile` of answers does not exceed, given that `alreadyTokens` have come and at most `maxTokens` will. */
    quantile(key: LengthKey, quantile: number, alreadyTokens: number, maxTokens: number): number {
        this.mix(key);
        const first = alreadyTokens === 0 ? 0 : LengthHistogram.bucketOf(alreadyTokens);
        const target = quantile * this.massFrom(first);
        let mass = 0;
        for (let bucket = first; bucket < LengthHistogram.bucketCount; bucket++) {
            mass += this.mixed[bucket] as number;
            if (mass >= target && mass > 0) {
                return clampLength(LengthHistogram.lengthOf(bucket), alreadyTokens, maxTokens);
            }
        }
        return clampLength(alreadyTokens * 1.5, alreadyTokens, maxTokens);
    }

    /** Expected whole length of an answer that has not begun; remembered for a while, as every ticket asks for it. */
    meanAtStart(key: LengthKey, maxTokens: number): number {
        const name = customerKey(key);
        const known = this.startMeans.get(name);
        if (known !== undefined && known.maxTokens === maxTokens && this.observations - known.observations < meanLifetime) {
            return known.mean;
        }
        const mean = this.mean(key, 0, maxTokens);
        if (this.startMeans.size > maxNarrowGroups) {
            this.startMeans.clear();
        }
        this.startMeans.set(name, { mean, observations: this.observations, maxTokens });
        return mean;
    }

    /** Expected whole length, given that `alreadyTokens` have come and at most `maxTokens` will. */
    mean(key: LengthKey, alreadyTokens: number, maxTokens: number): number {
        this.mix(key);
        const first = alreadyTokens === 0 ? 0 : LengthHistogram.bucketOf(alreadyTokens);
        let mass = 0;
        let sum = 0;
        for (let bucket = first; bucket < LengthHistogram.bucketCount; bucket++) {
            const share = this.mixed[bucket] as number;
            mass += share;
            sum += share * clampLength(LengthHistogram.lengthOf(bucket), alreadyTokens, maxTokens);
        }
        return mass > 0 ? sum / mass : clampLength(alreadyTokens * 1.5, alreadyTokens, maxTokens);
    }

    private massFrom(first: number): number {
        let mass = 0;
        for (let bucket = first; bucket < LengthHistogram.bucketCount; bucket++) {
            mass += this.mixed[bucket] as number;
        }
        return mass;
    }

    /** Fills `mixed` with the customer's distribution, drawn towards the class's, the service's and the cold-start one. */
    private mix(key: LengthKey): void {
        this.mixed.fill(0);
        for (const length of coldStartLengths) {
            const bucket = LengthHistogram.bucketOf(length);
            this.mixed[bucket] = (this.mixed[bucket] as number) + 1 / coldStartLengths.length;
        }
        this.draw(this.byService.get(key.service));
        this.draw(this.byClass.get(classKey(key)));
        this.draw(this.byCustomer.get(customerKey(key)));
    }

    private draw(histogram: LengthHistogram | undefined): void {
        if (histogram === undefined) {
            return;
        }
        const count = histogram.effectiveCount;
        const keep = priorCount / (priorCount + count);
        for (let bucket = 0; bucket < LengthHistogram.bucketCount; bucket++) {
            this.mixed[bucket] = keep * (this.mixed[bucket] as number) + (1 - keep) * histogram.share(bucket);
        }
    }
}

function histogramOf(groups: Map<string, LengthHistogram>, key: string): LengthHistogram {
    const histogram = groups.get(key) ?? new LengthHistogram(growthPerObservation);
    groups.delete(key);
    groups.set(key, histogram);
    return histogram;
}

function classKey(key: LengthKey): string {
    return `${key.service}\n${key.serviceClass}`;
}

function customerKey(key: LengthKey): string {
    return `${key.service}\n${key.serviceClass}\n${key.customer}`;
}

function clampLength(length: number, alreadyTokens: number, maxTokens: number): number {
    return Math.max(alreadyTokens + 1, Math.min(length, maxTokens));
}
