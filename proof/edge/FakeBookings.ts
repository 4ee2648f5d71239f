import { err, ok, ResultAsync } from "neverthrow";
import { BookingSendError } from "../../src/node/booking/BookingSendError.js";
import type { BookingCall } from "../../src/node/services/BookingCall.js";
import type { BookingError } from "../../src/node/services/BookingError.js";
import type { BookingResponse } from "../../src/node/services/BookingResponse.js";
import type { BookingService } from "../../src/node/services/BookingService.js";

interface Entry {
    readonly digest: string;
    readonly answer: Promise<BookingResponse>;
}

/** In-memory booking service that runs each idempotency key once. A key whose call did not run can be used again. */
export class FakeBookings implements BookingService {
    private readonly entries = new Map<string, Entry>();

    run(call: BookingCall, send: (mayStart: () => boolean) => Promise<BookingResponse>): ResultAsync<BookingResponse, BookingError> {
        const name = `${call.customer}/${call.key}`;
        let entry = this.entries.get(name);
        if (entry === undefined) {
            entry = { digest: call.digest, answer: send(() => true) };
            this.entries.set(name, entry);
        }
        if (entry.digest !== call.digest) {
            const reuseError: BookingError = { kind: "key-reused", outcome: "not-run", retryAfterMs: undefined, message: "use a new key" };
            return new ResultAsync(Promise.resolve(err(reuseError)));
        }
        return new ResultAsync(entry.answer.then(answer => ok(answer), (error: unknown) => {
            const failure = error instanceof BookingSendError ? error : new BookingSendError("unknown", "send failed");
            if (failure.outcome === "not-run") {
                this.entries.delete(name);
            }
            return err({
                kind: "upstream-failed" as const,
                outcome: failure.outcome,
                retryAfterMs: failure.retryAfterMs,
                message: failure.message,
            });
        }));
    }
}
