import type { RequestSummary } from "../../services/RequestSummary.js";

/** Summary of a complete response that met the targets of its class, with `change` applied, for tests. */
export function createRequestSummary(change: Partial<RequestSummary> = {}): RequestSummary {
    return {
        requestId: "r1",
        customer: "van",
        service: "model",
        serviceClass: "urgent",
        path: "new",
        upstreamId: "e1",
        status: 200,
        outcome: "ran",
        errorCode: undefined,
        queueMs: 3,
        firstTokenMs: 40,
        maxTokenGapMs: 30,
        meanTokenGapMs: 20,
        totalMs: 900,
        tokens: 30,
        wastedTokens: 0,
        attempts: 1,
        isComplete: true,
        isAbandoned: false,
        ...change,
    };
}
