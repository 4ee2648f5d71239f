import type { Outcome } from "../../schema/Outcome.js";
import type { BookingError } from "../services/BookingError.js";

const retryAfterMs = 1_000;

/** Creates the errors of keyed calls. Each carries the outcome reported to the caller and a message that names the remedy. */
export const bookingErrors = {
    keyReused(): BookingError {
        const message = "this idempotency key was already used with a different request; use a new key for a new request";
        return { kind: "key-reused", outcome: "not-run", retryAfterMs: undefined, message };
    },
    claimTimeout(): BookingError {
        return bookingErrors.notClaimed("the platform's log did not confirm the claim in time; retry the call later");
    },
    notClaimed(message: string): BookingError {
        return { kind: "log-unavailable", outcome: "not-run", retryAfterMs, message };
    },
    outcomeUnknown(): BookingError {
        const message = "the call was claimed but no response is recorded; check whether it took effect before retrying with a new key";
        return { kind: "outcome-unknown", outcome: "unknown", retryAfterMs: undefined, message };
    },
    responseUnavailable(message: string): BookingError {
        return { kind: "outcome-unknown", outcome: "ran", retryAfterMs, message };
    },
    cancelled(outcome: Outcome): BookingError {
        return { kind: "cancelled", outcome, retryAfterMs: undefined, message: "the caller disconnected" };
    },
};
