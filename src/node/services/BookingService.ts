import type { ResultAsync } from "neverthrow";
import type { BookingCall } from "./BookingCall.js";
import type { BookingError } from "./BookingError.js";
import type { BookingResponse } from "./BookingResponse.js";

/** Runs a non-idempotent call at most once per idempotency key, whichever path or VM receives it. */
export interface BookingService {
    /**
     * Calls `send` at most once, only after the claim has won, and never after the result of `run` has settled. `send` rejects with
     * a `BookingSendError`. A `send` that waits before sending its first byte must call `mayStart` immediately before that byte, and
     * reject as `not-run` when it returns false: the claim is too old to act on, for example after a long pause of the VM.
     */
    run(
        call: BookingCall,
        send: (mayStart: () => boolean) => Promise<BookingResponse>,
        signal: AbortSignal,
    ): ResultAsync<BookingResponse, BookingError>;
}
