import type { Outcome } from "../../schema/Outcome.js";
import type { BookingError } from "../services/BookingError.js";

const retryAfterMs = 1_000;

/** The errors of keyed calls, each with the outcome that its caller is told and the remedy. */
export const bookingErrors = {
    keyReused(): BookingError {
        const message = "this idempotency key was used with another request; use a new key for a new request";
        return { kind: "key-reused", outcome: "not-run", retryAfterMs: undefined, message };
    },
    claimTimeout(): BookingError {
        return bookingErrors.notClaimed("the platform's log is slow or down; repeat the call later");
    },
    notClaimed(message: string): BookingError {
        return { kind: "log-unavailable", outcome: "not-run", retryAfterMs, message };
    },
    outcomeUnknown(): BookingError {
        const message = "the call was claimed and its answer is not recorded; check whether it took effect before using a new key";
        return { kind: "outcome-unknown", outcome: "unknown", retryAfterMs: undefined, message };
    },
    answerUnavailable(message: string): BookingError {
        return { kind: "outcome-unknown", outcome: "ran", retryAfterMs, message };
    },
    cancelled(outcome: Outcome): BookingError {
        return { kind: "cancelled", outcome, retryAfterMs: undefined, message: "the caller went away" };
    },
};
