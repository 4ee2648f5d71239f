import type { Outcome } from "../../schema/Outcome.js";

/** How one request of a caller ended. A duration is undefined when the request did not get that far. */
export interface RequestSummary {
    readonly requestId: string;
    readonly customer: string;
    readonly service: string;
    readonly serviceClass: string;
    /** Undefined when the request ended before a path was assigned. */
    readonly path: "old" | "new" | undefined;
    readonly upstreamId: string | undefined;
    readonly status: number;
    /** The outcome reported to the caller; `ran` for every complete response. */
    readonly outcome: Outcome;
    /** Why the request failed; undefined for a complete response. */
    readonly errorCode: string | undefined;
    /** From the arrival of the request to its first grant. */
    readonly queueMs: number | undefined;
    /** From the arrival of the request to the delivery of the first token, or of a plain service's response head, to the caller. */
    readonly firstTokenMs: number | undefined;
    readonly maxTokenGapMs: number | undefined;
    readonly meanTokenGapMs: number | undefined;
    readonly totalMs: number;
    /** Tokens delivered to the caller. */
    readonly tokens: number;
    /** Tokens that an engine generated but that were not delivered to a caller. */
    readonly wastedTokens: number;
    /** Number of grants that the request received; several may name the same upstream. */
    readonly attempts: number;
    /** The caller received the complete response. */
    readonly isComplete: boolean;
    /** The caller closed its connection before the response was complete. */
    readonly isAbandoned: boolean;
}
