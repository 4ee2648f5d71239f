import type { ResultAsync } from "neverthrow";
import type { BookingCall } from "./BookingCall.js";
import type { BookingError } from "./BookingError.js";
import type { BookingResponse } from "./BookingResponse.js";

/** Runs a non-idempotent call at most once for its key, on whichever path or VM it arrives. */
export interface BookingService {
    /**
     * `send` is called at most once, and only after the claim has won; it is never called after `run` has settled.
     * It rejects with a `SendFailure`. A `send` that waits before the first byte leaves must ask `mayStart` right before it, and
     * reject as `not-run` when the answer is false: the claim has grown too old, as after a long pause of the VM.
     */
    run(
        call: BookingCall,
        send: (mayStart: () => boolean) => Promise<BookingResponse>,
        signal: AbortSignal,
    ): ResultAsync<BookingResponse, BookingError>;
}
