import * as z from "zod";

/** Settings for keyed calls (calls with an idempotency key). */
export const BookingSettings = z.strictObject({
    /** Log stream for claims and outcomes. */
    stream: z.string().default("bookings"),
    /** Maximum wait for a claim to be read back from the log; after that, the caller gets the outcome `not-run`. */
    claimWaitMs: z.number().positive().default(3_000),
    /** Maximum wait for the outcome of a call that another request has sent; after that, the caller gets the outcome `unknown`. */
    joinWaitMs: z.number().positive().default(60_000),
    /** How long a key is kept. Must exceed the longest call plus drain, and be less than the log's retention. */
    retentionMs: z.number().positive().default(3_600_000),
    /** Maximum number of keys in memory; calls with further keys are refused as `not-run`. */
    maxKeys: z.int().positive().default(100_000),
    /** Maximum size of a response kept for replay. */
    maxAnswerBytes: z.int().positive().default(65_536),
    /** Maximum size of all responses kept in memory for replay; older ones are read from the log. */
    answerMemoryBytes: z.int().positive().default(33_554_432),
    /** Fleet-wide limit of appends per second to the booking stream. */
    fleetAppendsPerSecond: z.number().positive().default(200),
});
export type BookingSettings = z.infer<typeof BookingSettings>;
