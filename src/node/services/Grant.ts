import type { Upstream } from "../../schema/config/Upstream.js";
import type { GrantEnd } from "../../schema/peer/GrantEnd.js";

/** Permission to send one request to one upstream. Its holder must call `end` exactly once. */
export interface Grant {
    readonly upstream: Upstream;
    /** Engine priority to send along; 0 is most urgent. */
    readonly priority: number;
    /**
     * Aborted when the dispatcher wants the slot back; the holder cancels and re-acquires. The signal's reason is `slow-upstream` when
     * the request is to go on elsewhere.
     */
    readonly preemptionSignal: AbortSignal;
    /** Notes each arrival of tokens: how many have come so far, and the time from the send to the first. The dispatcher is told when it matters. */
    reportProgress(outputTokens: number, firstTokenMs: number): void;
    end(end: GrantEnd): void;
}
