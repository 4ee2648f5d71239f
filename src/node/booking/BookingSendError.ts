import type { Outcome } from "../../schema/Outcome.js";

/**
 * Rejection of the `send` callback of a keyed call. `not-run` releases the key for another attempt, so use it only when no
 * byte reached an upstream or the upstream confirmed that it did not run the call. Any other rejection counts as `unknown`.
 */
export class BookingSendError extends Error {
    constructor(readonly outcome: Outcome, message: string, readonly retryAfterMs: number | undefined = undefined) {
        super(message);
    }
}
