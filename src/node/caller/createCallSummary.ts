import type { CallSummary } from "./CallSummary.js";

/** Creates the initial summary of a call. */
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
