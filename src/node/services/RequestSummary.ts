import type { Outcome } from "../../schema/Outcome.js";

/** What became of one request of a caller. Times that were never reached are undefined. */
export interface RequestSummary {
    readonly requestId: string;
    readonly customer: string;
    readonly service: string;
    readonly serviceClass: string;
    /** Undefined when the request ended before a path was assigned. */
    readonly path: "old" | "new" | undefined;
    readonly upstreamId: string | undefined;
    readonly status: number;
    /** What the caller was told; `ran` for every whole answer. */
    readonly outcome: Outcome;
    /** Why the request failed; undefined for a whole answer. */
    readonly errorCode: string | undefined;
    /** From the arrival of the request until its first grant. */
    readonly queueMs: number | undefined;
    /** From the arrival of the request until its first token, or the head of a plain answer, was handed to the caller. */
    readonly firstTokenMs: number | undefined;
    readonly maxTokenGapMs: number | undefined;
    readonly meanTokenGapMs: number | undefined;
    readonly totalMs: number;
    /** Tokens handed to the caller. */
    readonly tokens: number;
    /** Tokens that an engine produced and no caller got. */
    readonly wastedTokens: number;
    /** Upstreams tried. */
    readonly attempts: number;
    /** The caller got its whole answer. */
    readonly isComplete: boolean;
    /** The caller closed its connection first. */
    readonly isAbandoned: boolean;
}
