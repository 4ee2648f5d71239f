import type { Outcome } from "../../schema/Outcome.js";

/** How a call ended, for the request observer. Fields of stages that were not reached are undefined. */
export interface CallSummary {
    service: string;
    path: "old" | "new" | undefined;
    upstreamId: string | undefined;
    status: number;
    outcome: Outcome;
    errorCode: string | undefined;
    queueMs: number | undefined;
    firstTokenMs: number | undefined;
    maxTokenGapMs: number | undefined;
    meanTokenGapMs: number | undefined;
    tokens: number;
    wastedTokens: number;
    attempts: number;
    isComplete: boolean;
}
