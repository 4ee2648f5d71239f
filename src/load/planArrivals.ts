import { createSeededRandom } from "../core/util/createSeededRandom.js";
import type { Arrival } from "./Arrival.js";
import type { LoadPlan } from "./LoadPlan.js";

type Stream = LoadPlan["streams"][number];

/** 99th percentile of the standard normal distribution. */
const p99ZScore = 2.326;

/**
 * Returns the arrivals of a plan in order of their due time, deterministic for a seed. Each stream is a Poisson process whose rate is
 * multiplied by `factor` during each of its `swings`; token counts are log-normal.
 */
export function planArrivals(plan: LoadPlan): Arrival[] {
    const arrivals = plan.streams.flatMap((stream, index) =>
        planStreamArrivals(stream, plan.durationMs, createSeededRandom(plan.seed * 1_000 + index))
    );
    return arrivals.sort((left, right) => left.dueMs - right.dueMs);
}

/** Draws arrivals at the peak rate and keeps each with probability current rate / peak rate (thinning). */
function planStreamArrivals(stream: Stream, durationMs: number, random: () => number): Arrival[] {
    const peakFactor = Math.max(1, ...stream.swings.map(swing => swing.factor));
    const meanInterarrivalMs = 1_000 / (stream.ratePerSecond * peakFactor);
    const arrivals: Arrival[] = [];
    for (
        let dueMs = drawInterarrivalMs(random, meanInterarrivalMs);
        dueMs < durationMs;
        dueMs += drawInterarrivalMs(random, meanInterarrivalMs)
    ) {
        if (random() < findRateFactor(stream, dueMs) / peakFactor) {
            arrivals.push({ dueMs, stream, ...drawTokenLengths(stream, random) });
        }
    }
    return arrivals;
}

function drawInterarrivalMs(random: () => number, meanMs: number): number {
    return -Math.log(1 - random()) * meanMs;
}

function findRateFactor(stream: Stream, atMs: number): number {
    const swing = stream.swings.find(candidate => atMs >= candidate.atMs && atMs < candidate.atMs + candidate.durationMs);
    return swing?.factor ?? 1;
}

function drawTokenLengths(stream: Stream, random: () => number): { promptTokens: number; answerTokens: number; } {
    return stream.kind === "chat"
        ? { promptTokens: drawLogNormal(stream.prompt, random), answerTokens: drawLogNormal(stream.answer, random) }
        : { promptTokens: 0, answerTokens: 0 };
}

function drawLogNormal({ medianTokens, p99Tokens }: { medianTokens: number; p99Tokens: number; }, random: () => number): number {
    const logStandardDeviation = Math.log(p99Tokens / medianTokens) / p99ZScore;
    const deviate = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    return Math.max(1, Math.round(medianTokens * Math.exp(logStandardDeviation * deviate)));
}
