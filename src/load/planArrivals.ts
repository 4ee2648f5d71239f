import { createSeededRandom } from "../core/util/createSeededRandom.js";
import type { Arrival } from "./Arrival.js";
import type { LoadPlan } from "./LoadPlan.js";

type Stream = LoadPlan["streams"][number];

/** The standard normal deviate that one in a hundred exceeds. */
const p99Deviate = 2.326;

/**
 * All arrivals of a plan in the order of time, the same for the same seed. Each stream is a Poisson process whose rate follows
 * its swings; lengths are log-normal.
 */
export function planArrivals(plan: LoadPlan): Arrival[] {
    const arrivals = plan.streams.flatMap((stream, index) =>
        streamArrivals(stream, plan.durationMs, createSeededRandom(plan.seed * 1_000 + index))
    );
    return arrivals.sort((left, right) => left.dueMs - right.dueMs);
}

/** Draws at the highest rate and keeps each arrival with the share that the rate has then (thinning). */
function streamArrivals(stream: Stream, durationMs: number, random: () => number): Arrival[] {
    const peakFactor = Math.max(1, ...stream.swings.map(swing => swing.factor));
    const meanGapMs = 1_000 / (stream.ratePerSecond * peakFactor);
    const arrivals: Arrival[] = [];
    for (let dueMs = gap(random, meanGapMs); dueMs < durationMs; dueMs += gap(random, meanGapMs)) {
        if (random() < factorAt(stream, dueMs) / peakFactor) {
            arrivals.push({ dueMs, stream, ...lengths(stream, random) });
        }
    }
    return arrivals;
}

function gap(random: () => number, meanMs: number): number {
    return -Math.log(1 - random()) * meanMs;
}

function factorAt(stream: Stream, atMs: number): number {
    const swing = stream.swings.find(candidate => atMs >= candidate.atMs && atMs < candidate.atMs + candidate.durationMs);
    return swing?.factor ?? 1;
}

function lengths(stream: Stream, random: () => number): { promptTokens: number; answerTokens: number; } {
    return stream.kind === "chat"
        ? { promptTokens: logNormal(stream.prompt, random), answerTokens: logNormal(stream.answer, random) }
        : { promptTokens: 0, answerTokens: 0 };
}

function logNormal({ medianTokens, p99Tokens }: { medianTokens: number; p99Tokens: number; }, random: () => number): number {
    const spread = Math.log(p99Tokens / medianTokens) / p99Deviate;
    const deviate = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    return Math.max(1, Math.round(medianTokens * Math.exp(spread * deviate)));
}
