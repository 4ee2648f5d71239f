import type { ResultAsync } from "neverthrow";
import type { BookingAnswer } from "./BookingAnswer.js";
import type { BookingCall } from "./BookingCall.js";
import type { BookingError } from "./BookingError.js";

/** Runs a non-idempotent call at most once for its key, on whichever path or VM it arrives. */
export interface BookingService {
    /** `send` is called at most once, and only after the claim has won; it is never called after `run` has settled. */
    run(call: BookingCall, send: () => Promise<BookingAnswer>, signal: AbortSignal): ResultAsync<BookingAnswer, BookingError>;
}
