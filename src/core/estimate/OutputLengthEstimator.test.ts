import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { LengthHistogram } from "./LengthHistogram.js";
import { OutputLengthEstimator } from "./OutputLengthEstimator.js";

const weightGrowth = 1 / 256;
const priorCount = 8;
const coldStartLengths = [32, 64, 128, 256, 512, 1024];

interface Observation {
    readonly customer: string;
    readonly serviceClass: string;
    readonly tokens: number;
}

/** Reference result: weighted shares by bucket and the effective count, computed from all observations. */
function computeShares(observations: readonly Observation[]): { shares: number[]; count: number; } {
    const weights = observations.map((observation, index) => ({
        bucket: LengthHistogram.bucketOf(observation.tokens),
        weight: (1 + weightGrowth) ** (index + 1),
    }));
    const total = weights.reduce((sum, { weight }) => sum + weight, 0);
    const shares = [...Array(LengthHistogram.bucketCount).keys()].map(bucket =>
        weights.filter(entry => entry.bucket === bucket).reduce((sum, { weight }) => sum + weight, 0) / Math.max(total, 1e-12)
    );
    return { shares, count: total / (1 + weightGrowth) ** observations.length };
}

function computeMean(
    observations: readonly Observation[],
    customer: string,
    serviceClass: string,
    receivedTokens: number,
    maxTokens: number,
): number {
    const ofClass = observations.filter(observation => observation.serviceClass === serviceClass);
    const groups = [observations, ofClass, ofClass.filter(observation => observation.customer === customer)];
    let blendedShares = [...Array(LengthHistogram.bucketCount).keys()].map(bucket =>
        coldStartLengths.filter(length => LengthHistogram.bucketOf(length) === bucket).length / coldStartLengths.length
    );
    for (const group of groups.filter(candidate => candidate.length > 0)) {
        const { shares, count } = computeShares(group);
        const priorWeight = priorCount / (priorCount + count);
        blendedShares = blendedShares.map((share, bucket) => priorWeight * share + (1 - priorWeight) * (shares[bucket] as number));
    }
    const remaining = blendedShares.map((share, bucket) => ({ share, bucket })).filter(({ bucket }) =>
        receivedTokens === 0 || bucket >= LengthHistogram.bucketOf(receivedTokens)
    );
    const mass = remaining.reduce((sum, { share }) => sum + share, 0);
    const clamp = (length: number) => Math.max(receivedTokens + 1, Math.min(length, maxTokens));
    return mass > 0
        ? remaining.reduce((sum, { share, bucket }) => sum + share * clamp(LengthHistogram.lengthOf(bucket)), 0) / mass
        : clamp(receivedTokens * 1.5);
}

const arbitraryObservation = fc.record({
    customer: fc.constantFrom("a", "b"),
    serviceClass: fc.constantFrom("question", "manual"),
    tokens: fc.integer({ min: 1, max: 5_000 }),
});

test("incremental estimates equal those computed from all observations", () => {
    fc.assert(
        fc.property(
            fc.array(arbitraryObservation, { maxLength: 60, size: "max" }),
            fc.integer({ min: 0, max: 3_000 }),
            (observations, receivedTokens) => {
                const estimator = new OutputLengthEstimator();
                for (const { customer, serviceClass, tokens } of observations) {
                    estimator.observe({ service: "model", customer, serviceClass }, tokens);
                }
                const mean = estimator.mean({ service: "model", customer: "a", serviceClass: "manual" }, receivedTokens, 4_000);
                expect(Math.abs(mean / computeMean(observations, "a", "manual", receivedTokens, 4_000) - 1) < 1e-9).toEqual(true);
            },
        ),
        { seed: 20_261_206, numRuns: 200 },
    );
});

test("estimated lengths increase with the quantile, exceed the tokens already received and respect the token limit", () => {
    const estimator = new OutputLengthEstimator();
    const key = { service: "model", customer: "a", serviceClass: "question" };
    for (let tokens = 50; tokens < 400; tokens++) {
        estimator.observe(key, tokens);
    }
    const [low, middle, high] = [0.1, 0.5, 0.9].map(share => estimator.quantile(key, share, 0, 4_000)) as [number, number, number];
    expect(low < middle && middle < high).toEqual(true);
    expect(Math.abs(middle - 225) < 60).toEqual(true);
    expect(estimator.quantile(key, 0.1, 350, 4_000) > 350).toEqual(true);
    expect(estimator.quantile(key, 0.9, 0, 100)).toEqual(100);
});

test("a customer without observations is estimated from its service class, and a class without observations from its service", () => {
    const estimator = new OutputLengthEstimator();
    for (let count = 0; count < 200; count++) {
        estimator.observe({ service: "model", customer: "a", serviceClass: "manual" }, 2_000);
        estimator.observe({ service: "model", customer: "a", serviceClass: "question" }, 40);
    }
    const mean = (customer: string, serviceClass: string) => estimator.mean({ service: "model", customer, serviceClass }, 0, 10_000);
    expect(mean("new", "manual") > 1_500).toEqual(true);
    expect(mean("new", "question") < 200).toEqual(true);
    expect(mean("new", "new") > mean("new", "question") && mean("new", "new") < mean("new", "manual")).toEqual(true);
});

test("the median follows a change in output lengths within 600 observations", () => {
    const estimator = new OutputLengthEstimator();
    const key = { service: "model", customer: "a", serviceClass: "question" };
    for (let count = 0; count < 2_000; count++) {
        estimator.observe(key, 50);
    }
    for (let count = 0; count < 600; count++) {
        estimator.observe(key, 800);
    }
    expect(estimator.quantile(key, 0.5, 0, 10_000) > 600).toEqual(true);
});
