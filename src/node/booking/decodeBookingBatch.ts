import { unpack } from "msgpackr";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { BookingBatch } from "../../core/booking/BookingBatch.js";

/** Reads one record of the booking stream; the error says why it is skipped. */
export function decodeBookingBatch(payload: Uint8Array): Result<BookingBatch, string> {
    try {
        const parsed = BookingBatch.safeParse(unpack(payload));
        return parsed.success ? ok(parsed.data) : err(parsed.error.message);
    }
    catch (error) {
        return err(String(error));
    }
}
