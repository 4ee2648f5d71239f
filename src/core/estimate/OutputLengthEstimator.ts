import { LengthHistogram } from "./LengthHistogram.js";
import type { LengthKey } from "./LengthKey.js";

/** Growth of the weight from one observation to the next; limits the effective number of observations to about 256. */
const weightGrowth = 1 / 256;
/** Weight of the wider group in the estimate of a narrower one, in observations. */
const priorCount = 8;
/** Bound on the customer groups kept; the least recently observed one is evicted first. */
const maxCustomerGroups = 8_192;
/** Number of observations after which a cached mean is recomputed. */
const maxCachedMeanAgeObservations = 16;
/** Output lengths in tokens, equally likely, that are assumed for a service without observations. */
const coldStartLengths = [32, 64, 128, 256, 512, 1024];

/**
 * Learns the distribution of output lengths by service, service class and customer. With few observations, the estimate of a group is
 * weighted towards the wider group.
 */
export class OutputLengthEstimator {
    private readonly byService = new Map<string, LengthHistogram>();
    private readonly byClass = new Map<string, LengthHistogram>();
    private readonly byCustomer = new Map<string, LengthHistogram>();
    /** Results of `meanAtStart` by customer group, with the number of observations at their computation. */
    private readonly cachedMeans = new Map<string, { mean: number; observations: number; maxTokens: number; }>();
    private observations = 0;
    private readonly blendedShares = new Float64Array(LengthHistogram.bucketCount);

    /** Records the output length of a completed response. */
    observe(key: LengthKey, outputTokens: number): void {
        this.observations++;
        touchHistogram(this.byService, key.service).observe(outputTokens);
        touchHistogram(this.byClass, buildClassKey(key)).observe(outputTokens);
        touchHistogram(this.byCustomer, buildCustomerKey(key)).observe(outputTokens);
        if (this.byCustomer.size > maxCustomerGroups) {
            const oldest = this.byCustomer.keys().next().value as string;
            this.byCustomer.delete(oldest);
            this.cachedMeans.delete(oldest);
        }
    }

    /** Total output length in tokens at a quantile in [0, 1], given `receivedTokens` so far and the limit `maxTokens`. */
    quantile(key: LengthKey, quantile: number, receivedTokens: number, maxTokens: number): number {
        this.blend(key);
        const firstBucket = receivedTokens === 0 ? 0 : LengthHistogram.bucketOf(receivedTokens);
        const targetMass = quantile * this.sumMassFrom(firstBucket);
        let mass = 0;
        for (let bucket = firstBucket; bucket < LengthHistogram.bucketCount; bucket++) {
            mass += this.blendedShares[bucket] as number;
            if (mass >= targetMass && mass > 0) {
                return clampLength(LengthHistogram.lengthOf(bucket), receivedTokens, maxTokens);
            }
        }
        // No observed or cold-start length reaches `receivedTokens`: assumes half as many tokens again.
        return clampLength(receivedTokens * 1.5, receivedTokens, maxTokens);
    }

    /** Expected output length in tokens of a response that has not started; cached, as every ticket asks for it. */
    meanAtStart(key: LengthKey, maxTokens: number): number {
        const cacheKey = buildCustomerKey(key);
        const cached = this.cachedMeans.get(cacheKey);
        if (
            cached !== undefined && cached.maxTokens === maxTokens && this.observations - cached.observations < maxCachedMeanAgeObservations
        ) {
            return cached.mean;
        }
        const mean = this.mean(key, 0, maxTokens);
        if (this.cachedMeans.size > maxCustomerGroups) {
            this.cachedMeans.clear();
        }
        this.cachedMeans.set(cacheKey, { mean, observations: this.observations, maxTokens });
        return mean;
    }

    /** Expected total output length in tokens, given `receivedTokens` so far and the limit `maxTokens`. */
    mean(key: LengthKey, receivedTokens: number, maxTokens: number): number {
        this.blend(key);
        const firstBucket = receivedTokens === 0 ? 0 : LengthHistogram.bucketOf(receivedTokens);
        let mass = 0;
        let sum = 0;
        for (let bucket = firstBucket; bucket < LengthHistogram.bucketCount; bucket++) {
            const share = this.blendedShares[bucket] as number;
            mass += share;
            sum += share * clampLength(LengthHistogram.lengthOf(bucket), receivedTokens, maxTokens);
        }
        // If no observed or cold-start length reaches `receivedTokens`, assumes half as many tokens again.
        return mass > 0 ? sum / mass : clampLength(receivedTokens * 1.5, receivedTokens, maxTokens);
    }

    private sumMassFrom(firstBucket: number): number {
        let mass = 0;
        for (let bucket = firstBucket; bucket < LengthHistogram.bucketCount; bucket++) {
            mass += this.blendedShares[bucket] as number;
        }
        return mass;
    }

    /** Computes `blendedShares`: the cold-start distribution blended with that of the service, the class and the customer in turn. */
    private blend(key: LengthKey): void {
        this.blendedShares.fill(0);
        for (const length of coldStartLengths) {
            const bucket = LengthHistogram.bucketOf(length);
            this.blendedShares[bucket] = (this.blendedShares[bucket] as number) + 1 / coldStartLengths.length;
        }
        this.blendIn(this.byService.get(key.service));
        this.blendIn(this.byClass.get(buildClassKey(key)));
        this.blendIn(this.byCustomer.get(buildCustomerKey(key)));
    }

    private blendIn(histogram: LengthHistogram | undefined): void {
        if (histogram === undefined) {
            return;
        }
        const count = histogram.effectiveCount;
        const priorWeight = priorCount / (priorCount + count);
        for (let bucket = 0; bucket < LengthHistogram.bucketCount; bucket++) {
            this.blendedShares[bucket] = priorWeight * (this.blendedShares[bucket] as number) + (1 - priorWeight) * histogram.share(bucket);
        }
    }
}

/** Gets or creates the histogram of a group and moves it to the end of the map, which is in order of last observation. */
function touchHistogram(groups: Map<string, LengthHistogram>, key: string): LengthHistogram {
    const histogram = groups.get(key) ?? new LengthHistogram(weightGrowth);
    groups.delete(key);
    groups.set(key, histogram);
    return histogram;
}

function buildClassKey(key: LengthKey): string {
    return `${key.service}\n${key.serviceClass}`;
}

function buildCustomerKey(key: LengthKey): string {
    return `${key.service}\n${key.serviceClass}\n${key.customer}`;
}

function clampLength(length: number, receivedTokens: number, maxTokens: number): number {
    return Math.max(receivedTokens + 1, Math.min(length, maxTokens));
}
