import type { Outcome } from "../../schema/Outcome.js";

/** Why a keyed call has no answer, with the outcome that the caller is told. */
export interface BookingError {
    readonly kind: "key-reused" | "log-unavailable" | "outcome-unknown" | "upstream-failed" | "cancelled";
    readonly outcome: Outcome;
    readonly retryAfterMs: number | undefined;
    readonly message: string;
}
