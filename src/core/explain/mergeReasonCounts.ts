import type { ReasonCount } from "../../schema/explain/ReasonCount.js";

const maxExamples = 5;

/** Sums the counts of equal reasons and keeps the last few example request ids of each; most frequent first. */
export function mergeReasonCounts(reasons: readonly ReasonCount[]): ReasonCount[] {
    const sums = new Map<string, { count: number; exampleRequestIds: string[]; }>();
    for (const { reason, count, exampleRequestIds } of reasons) {
        const sum = sums.get(reason) ?? { count: 0, exampleRequestIds: [] };
        sum.count += count;
        sum.exampleRequestIds = [...sum.exampleRequestIds, ...exampleRequestIds].slice(-maxExamples);
        sums.set(reason, sum);
    }
    return [...sums].map(([reason, sum]) => ({ reason, ...sum })).sort((left, right) => right.count - left.count);
}
