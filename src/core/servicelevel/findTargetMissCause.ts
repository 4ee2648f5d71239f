import type { RequestSample } from "./RequestSample.js";

/** Waiting counts as the cause of a late first token when it took at least this share of the time. */
const waitingShare = 0.5;

/** Where the time of a request went that missed a target; undefined where the reason says it all. */
export function findTargetMissCause(sample: RequestSample, attempts: number, reason: string): string | undefined {
    if (reason !== "first-token") {
        return undefined;
    }
    if (attempts > 1) {
        return "tried more than one upstream";
    }
    const untilFirstTokenMs = sample.firstTokenMs ?? sample.totalMs;
    const waitedMs = sample.queueMs ?? sample.totalMs;
    return waitedMs >= untilFirstTokenMs * waitingShare ? "waited for an upstream" : "slow upstream";
}
