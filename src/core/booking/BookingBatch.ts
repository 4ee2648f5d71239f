import * as z from "zod";
import { BookingRecord } from "./BookingRecord.js";

/** Booking records that one VM appended together as one log record. */
export const BookingBatch = z.object({
    formatVersion: z.literal(1),
    vm: z.string(),
    incarnation: z.string(),
    records: z.array(BookingRecord),
});
export type BookingBatch = z.infer<typeof BookingBatch>;
