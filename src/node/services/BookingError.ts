import type { Outcome } from "../../schema/Outcome.js";

/** Why a call with an idempotency key has no response, with the outcome reported to the caller. */
export interface BookingError {
    readonly kind: "key-reused" | "log-unavailable" | "outcome-unknown" | "upstream-failed" | "cancelled";
    readonly outcome: Outcome;
    readonly retryAfterMs: number | undefined;
    readonly message: string;
}
