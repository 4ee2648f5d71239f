import { LatencyHistogram } from "../core/servicelevel/LatencyHistogram.js";
import type { LoadPlan } from "./LoadPlan.js";
import type { LoadSample } from "./LoadSample.js";
import type { LoadSummary } from "./LoadSummary.js";

/** Aggregates samples by class. A request without a complete answer counts as having missed its targets. */
export function summarizeLoad(samples: readonly LoadSample[], targets: LoadPlan["targets"]): LoadSummary[] {
    const serviceClasses = [...new Set(samples.map(sample => sample.serviceClass))].sort();
    return serviceClasses.map(name => summarizeClass(name, samples.filter(sample => sample.serviceClass === name), targets[name]));
}

function summarizeClass(
    serviceClass: string,
    samples: readonly LoadSample[],
    target: LoadPlan["targets"][string] | undefined,
): LoadSummary {
    const complete = samples.filter(sample => sample.isComplete);
    const attained = target === undefined ?
        [] :
        complete.filter(sample =>
            (sample.firstTokenMs ?? sample.totalMs) <= target.firstTokenMs && (sample.meanTokenGapMs ?? 0) <= target.tokenGapMs
        );
    return {
        serviceClass,
        requests: samples.length,
        completedRequests: complete.length,
        attainment: target === undefined || samples.length === 0 ? undefined : attained.length / samples.length,
        tokens: samples.reduce((sum, sample) => sum + sample.tokens, 0),
        firstToken: createHistogram(samples.map(sample => sample.firstTokenMs)),
        tokenGap: createHistogram(samples.map(sample => sample.meanTokenGapMs)),
        total: createHistogram(complete.map(sample => sample.totalMs)),
        errors: countErrors(samples),
    };
}

function createHistogram(values: readonly (number | undefined)[]): LatencyHistogram {
    const histogram = new LatencyHistogram();
    for (const value of values) {
        if (value !== undefined) {
            histogram.record(value);
        }
    }
    return histogram;
}

function countErrors(samples: readonly LoadSample[]): (readonly [string, number])[] {
    const counts = new Map<string, number>();
    for (const { isComplete, errorCode } of samples) {
        if (!isComplete) {
            const name = errorCode ?? "incomplete";
            counts.set(name, (counts.get(name) ?? 0) + 1);
        }
    }
    return [...counts].sort(([, left], [, right]) => right - left);
}
