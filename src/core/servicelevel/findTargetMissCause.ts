import type { RequestSample } from "./RequestSample.js";

/** Queueing is the cause of a late first token if it took at least this share of the time to first token. */
const minWaitingShare = 0.5;

/** Finds why a request missed its first-token target; undefined for other reasons, which need no further cause. */
export function findTargetMissCause(sample: RequestSample, attempts: number, reason: string): string | undefined {
    if (reason !== "first-token") {
        return undefined;
    }
    if (attempts > 1) {
        return "tried more than one upstream";
    }
    const untilFirstTokenMs = sample.firstTokenMs ?? sample.totalMs;
    const waitedMs = sample.queueMs ?? sample.totalMs;
    return waitedMs >= untilFirstTokenMs * minWaitingShare ? "waited for an upstream" : "slow upstream";
}
