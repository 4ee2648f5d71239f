import type { RunEvidence } from "./RunEvidence.js";

/** Response times that are kept of each route. */
const keptDurations = 32;
/** Share of the kept response times below the one that is taken for the processing time; the lowest are often errors that are answered at once. */
const lowShare = 0.2;
/** Routes of which response times are kept; routes come from the configuration, which may change often in the life of a process. */
const maxRoutes = 256;

/**
 * Estimates when an upstream began to run a call, from what the VM sees of it. A call that is not a stream runs before its response head, for
 * about as long as its route takes when nothing holds it up; what it took beyond that is time in a queue before the run.
 */
export class RunBeginEstimator {
    private readonly durationsByRoute = new Map<string, number[]>();

    estimate(evidence: RunEvidence, nowMs: number): number {
        switch (evidence.kind) {
            case "event":
                return nowMs;
            case "no-answer":
                return evidence.sentMs;
            case "head":
                return Math.max(evidence.sentMs, nowMs - this.recordDuration(evidence.route, nowMs - evidence.sentMs));
        }
    }

    /** Records a response time and returns the processing time of the route. */
    private recordDuration(route: string, durationMs: number): number {
        if (!this.durationsByRoute.has(route) && this.durationsByRoute.size >= maxRoutes) {
            this.durationsByRoute.clear();
        }
        const durationsMs = [...(this.durationsByRoute.get(route) ?? []).slice(1 - keptDurations), durationMs];
        this.durationsByRoute.set(route, durationsMs);
        const sorted = durationsMs.toSorted((left, right) => left - right);
        return sorted[Math.floor(sorted.length * lowShare)] ?? durationMs;
    }
}
