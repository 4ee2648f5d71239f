import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { aggregateServiceLevels } from "./aggregateServiceLevels.js";
import { burnRateWindowsMs } from "./burnRateWindowsMs.js";
import { CellTable } from "./CellTable.js";
import { findTargetMissCause } from "./findTargetMissCause.js";
import { IntervalStore } from "./IntervalStore.js";
import { judgeRequest } from "./judgeRequest.js";
import { LatencyHistogram } from "./LatencyHistogram.js";
import type { RequestSample } from "./RequestSample.js";

const minuteMs = 60_000;
const hourMs = 60 * minuteMs;
const nowMs = 1_000 * hourMs;
const targets = { firstTokenTargetMs: 450, tokenGapTargetMs: 35 };
const resolveImmediately = () => Promise.resolve();
const latencyMs = fc.double({ min: 0, max: 100_000, noNaN: true });

function createSample(overrides: Partial<RequestSample>): RequestSample {
    return {
        status: 200,
        errorCode: undefined,
        queueMs: 1,
        firstTokenMs: 100,
        meanTokenGapMs: 10,
        totalMs: 900,
        tokens: 10,
        wastedTokens: 0,
        isComplete: true,
        isAbandoned: false,
        ...overrides,
    };
}

test("requests are judged by what the caller saw, and failures caused by the caller are excluded", () => {
    const judge = (overrides: Partial<RequestSample>, total?: number) => {
        const judged = judgeRequest(createSample(overrides), total === undefined ? targets : { ...targets, totalTargetMs: total });
        return judged.kind === "bad" ? judged.reason : judged.kind;
    };
    expect(judge({})).toEqual("good");
    expect(judge({ firstTokenMs: 451 })).toEqual("first-token");
    expect(judge({ meanTokenGapMs: 36 })).toEqual("token-gap");
    expect(judge({}, 899)).toEqual("total");
    expect(judge({ isComplete: false, status: 503, errorCode: "shed" })).toEqual("shed");
    expect(judge({ isComplete: false, status: 400, errorCode: "bad_request" })).toEqual("excluded");
    expect(judge({ isComplete: false, isAbandoned: true })).toEqual("excluded");
    expect(judge({ isComplete: false, isAbandoned: true, firstTokenMs: undefined, totalMs: 451 })).toEqual("first-token");
});

test("a late first token is attributed to the queue, to a slow upstream or to retries", () => {
    expect(findTargetMissCause(createSample({ queueMs: 400, firstTokenMs: 600 }), 1, "first-token")).toEqual("waited for an upstream");
    expect(findTargetMissCause(createSample({ queueMs: 20, firstTokenMs: 600 }), 1, "first-token")).toEqual("slow upstream");
    expect(findTargetMissCause(createSample({ queueMs: 400, firstTokenMs: 600 }), 2, "first-token")).toEqual(
        "tried more than one upstream",
    );
    expect(findTargetMissCause(createSample({ queueMs: undefined, firstTokenMs: undefined }), 0, "first-token")).toEqual(
        "waited for an upstream",
    );
    expect(findTargetMissCause(createSample({}), 1, "shed")).toEqual(undefined);
});

test("merging histograms gives the same result as recording all samples in one histogram", () => {
    fc.assert(
        fc.property(fc.array(fc.array(latencyMs, { maxLength: 50 }), { maxLength: 6 }), parts => {
            const combined = new LatencyHistogram();
            const merged = new LatencyHistogram();
            for (const part of parts) {
                const histogram = new LatencyHistogram();
                part.forEach(value => {
                    histogram.record(value);
                    combined.record(value);
                });
                merged.mergeEncoded(histogram.encode());
            }
            return merged.encode() === combined.encode() && merged.count === parts.flat().length;
        }),
        { seed: 11, numRuns: 200 },
    );
});

test("histogram percentiles are within 1% of the exact percentiles of the samples", () => {
    fc.assert(
        fc.property(fc.array(latencyMs, { minLength: 1, maxLength: 200 }), fc.constantFrom(50, 95, 99), (values, percentile) => {
            const histogram = new LatencyHistogram();
            values.forEach(value => {
                histogram.record(value);
            });
            const sorted = [...values].sort((left, right) => left - right);
            const exact = sorted[Math.ceil(values.length * percentile / 100) - 1] ?? 0;
            return Math.abs(histogram.computePercentileMs(percentile) - exact) <= exact * 0.01 + 0.1;
        }),
        { seed: 12, numRuns: 200 },
    );
});

test("an encoded histogram that cannot be decoded is rejected and adds nothing", () => {
    const histogram = new LatencyHistogram();
    expect(histogram.mergeEncoded("garbage")).toEqual(false);
    expect(histogram.count).toEqual(0);
});

/** A request that ended `ageMinutes` ago. */
interface EndedRequest {
    readonly ageMinutes: number;
    readonly vm: number;
    readonly isGood: boolean;
    readonly queueMs: number;
}

const endedRequest: fc.Arbitrary<EndedRequest> = fc.record({
    ageMinutes: fc.oneof(fc.integer({ min: 0, max: 70 }), fc.integer({ min: 0, max: 71 * 60 })),
    vm: fc.integer({ min: 0, max: 2 }),
    isGood: fc.boolean(),
    queueMs: latencyMs,
});

function createStores(events: readonly EndedRequest[], compactEveryMinutes: number): IntervalStore[] {
    const stores = [0, 1, 2].map(() => new IntervalStore());
    for (let age = 71 * 60; age >= 0; age--) {
        for (const [vm, store] of stores.entries()) {
            const ended = events.filter(candidate => candidate.vm === vm && candidate.ageMinutes === age);
            if (ended.length > 0) {
                const table = new CellTable();
                for (const { isGood, queueMs } of ended) {
                    table.getOrCreateCell("urgent", "new").add(
                        createSample({ queueMs }),
                        isGood ? { kind: "good" } : { kind: "bad", reason: "shed" },
                    );
                }
                store.add({ startAtMs: nowMs - age * minuteMs, durationMs: minuteMs, cells: table.toCells() });
            }
            if (age % compactEveryMinutes === 0) {
                store.compact(nowMs - age * minuteMs);
            }
        }
    }
    return stores;
}

test("burn rates, counts and percentiles over three VMs equal those computed from the raw requests, at any compaction frequency", async () => {
    await fc.assert(
        fc.asyncProperty(
            fc.array(endedRequest, { minLength: 1, maxLength: 60 }),
            fc.constantFrom(1, 7, 300),
            async (events, compactEveryMinutes) => {
                const stores = createStores(events, compactEveryMinutes);
                const sinceAtMs = nowMs - 72 * hourMs;
                const [level] = await aggregateServiceLevels(
                    stores.flatMap(store => store.since(sinceAtMs)),
                    { sinceAtMs, nowMs },
                    () => 0.95,
                    resolveImmediately,
                );
                const combined = new LatencyHistogram();
                events.forEach(({ queueMs }) => {
                    combined.record(queueMs);
                });
                const queue = level?.distributions.find(({ measure }) => measure === "queue");
                expect([queue?.count, queue?.p50Ms, queue?.p99Ms]).toEqual([
                    events.length,
                    combined.computePercentileMs(50),
                    combined.computePercentileMs(99),
                ]);
                for (const windowMs of burnRateWindowsMs) {
                    const inside = events.filter(({ ageMinutes }) => ageMinutes * minuteMs < windowMs + minuteMs);
                    const bad = inside.filter(({ isGood }) => !isGood).length;
                    const expectedBurnRate = inside.length === 0 ? undefined : (bad / inside.length) / (1 - 0.95);
                    const reported = level?.burn.find(window => window.windowMs === windowMs);
                    expect([reported?.good, reported?.bad, reported?.burnRate]).toEqual([inside.length - bad, bad, expectedBurnRate]);
                }
                const points = level?.points ?? [];
                expect(points.reduce((sum, point) => sum + point.good + point.bad, 0)).toEqual(events.length);
            },
        ),
        { seed: 13, numRuns: 60 },
    );
});

test("an alert fires only if both of its windows reach the threshold and there are enough events", async () => {
    const listFiringAlerts = async (badAges: readonly number[], goodAges: readonly number[]) => {
        const events = [
            ...badAges.map(ageMinutes => ({ ageMinutes, vm: 0, isGood: false, queueMs: 1 })),
            ...goodAges.map(ageMinutes => ({ ageMinutes, vm: 0, isGood: true, queueMs: 1 })),
        ];
        const intervals = createStores(events, 1).flatMap(store => store.since(0));
        const [level] = await aggregateServiceLevels(intervals, { sinceAtMs: nowMs - 72 * hourMs, nowMs }, () => 0.95, resolveImmediately);
        return level?.alerts.filter(alert => alert.firing).map(alert => `${alert.severity} ${alert.longWindowMs / hourMs}h`);
    };
    const recentAges = Array<number>(20).fill(1);
    const earlierAges = Array<number>(20).fill(40);
    expect(await listFiringAlerts(recentAges, [])).toEqual(["fast 1h", "fast 6h", "slow 72h"]);
    expect(await listFiringAlerts(earlierAges, recentAges)).toEqual(["slow 72h"]);
    expect(await listFiringAlerts([1, 1, 1], [])).toEqual([]);
});
