import { pack } from "msgpackr";
import type { BookingBatch } from "../../core/booking/BookingBatch.js";

/** Payload of one record of the booking stream. */
export function encodeBookingBatch(batch: BookingBatch): Uint8Array {
    return pack(batch);
}
