import type { Outcome } from "../../schema/Outcome.js";

/**
 * What the `send` function of a booking rejects with. `not-run` means that no upstream ran any of the call,
 * so that its key may be used again; `unknown` means that the key is spent.
 */
export class SendFailure extends Error {
    constructor(readonly outcome: Outcome, message: string, readonly retryAfterMs?: number) {
        super(message);
    }
}
