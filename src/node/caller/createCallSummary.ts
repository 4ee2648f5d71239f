import type { CallSummary } from "./CallSummary.js";

/** The summary of a call that has not got anywhere yet. */
export function createCallSummary(): CallSummary {
    return {
        service: "",
        path: undefined,
        upstreamId: undefined,
        status: 0,
        outcome: "not-run",
        errorCode: undefined,
        queueMs: undefined,
        firstTokenMs: undefined,
        maxTokenGapMs: undefined,
        meanTokenGapMs: undefined,
        tokens: 0,
        wastedTokens: 0,
        attempts: 0,
        isComplete: false,
    };
}
