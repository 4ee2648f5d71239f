import { unpack } from "msgpackr";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { BookingBatch } from "../../core/booking/BookingBatch.js";

/** Decodes the payload of one record of the booking stream; the error is the reason why it is malformed. */
export function decodeBookingBatch(payload: Uint8Array): Result<BookingBatch, string> {
    try {
        const parsed = BookingBatch.safeParse(unpack(payload));
        return parsed.success ? ok(parsed.data) : err(parsed.error.message);
    }
    catch (error) {
        return err(String(error));
    }
}
