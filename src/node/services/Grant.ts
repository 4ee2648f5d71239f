import type { Upstream } from "../../schema/config/Upstream.js";
import type { GrantEnd } from "../../schema/peer/GrantEnd.js";

/** Permission to send one request to one upstream. The holder must call `end` exactly once. */
export interface Grant {
    readonly upstream: Upstream;
    /** Engine priority to send with the request; 0 is most urgent. */
    readonly priority: number;
    /**
     * Aborted when the dispatcher preempts the request; the holder cancels it and acquires a new grant. The abort reason is
     * `slow-upstream` when the request is to continue on another upstream.
     */
    readonly preemptionSignal: AbortSignal;
    /**
     * To be called at each arrival of tokens, with the number received so far and the time from sending the request to the first
     * token. Reaches the dispatcher only when it matters there, as at the first token or after an unusually long token gap.
     */
    reportProgress(outputTokens: number, firstTokenMs: number): void;
    end(end: GrantEnd): void;
}
