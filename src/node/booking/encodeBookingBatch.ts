import { pack } from "msgpackr";
import type { BookingBatch } from "../../core/booking/BookingBatch.js";

/** Encodes a batch as the payload of one record of the booking stream. */
export function encodeBookingBatch(batch: BookingBatch): Uint8Array {
    return pack(batch);
}
