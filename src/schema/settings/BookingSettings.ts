import * as z from "zod";

/** Settings of keyed calls. */
export const BookingSettings = z.strictObject({
    /** Stream of the log that holds claims and outcomes. */
    stream: z.string().default("bookings"),
    /** Longest wait for a claim to be read back from the log; then the caller is told `not-run`. */
    claimWaitMs: z.number().positive().default(3_000),
    /** Longest wait for the outcome of a call that another request sent; then the caller is told `unknown`. */
    joinWaitMs: z.number().positive().default(60_000),
    /** How long a key is kept. Must exceed the longest call plus drain, and be shorter than the log keeps records. */
    retentionMs: z.number().positive().default(3_600_000),
    /** Most keys in memory; more are refused as `not-run`. */
    maxKeys: z.int().positive().default(100_000),
    /** Larger answers are not kept for replay. */
    maxAnswerBytes: z.int().positive().default(65_536),
    /** Answers kept in memory for replay; older ones are read from the log. */
    answerMemoryBytes: z.int().positive().default(33_554_432),
    /** Appends a second to the booking stream, over the whole fleet. */
    fleetAppendsPerSecond: z.number().positive().default(200),
});
export type BookingSettings = z.infer<typeof BookingSettings>;
