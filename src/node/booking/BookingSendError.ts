import type { Outcome } from "../../schema/Outcome.js";

/**
 * What the `send` of a keyed call rejects with. `not-run` frees the key for another attempt and must be given only when
 * no byte reached an upstream or the upstream confirmed that it did nothing; any other rejection counts as `unknown`.
 */
export class BookingSendError extends Error {
    constructor(readonly outcome: Outcome, message: string, readonly retryAfterMs: number | undefined = undefined) {
        super(message);
    }
}
