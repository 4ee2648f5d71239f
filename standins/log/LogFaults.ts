import * as z from "zod";

/** Faults of the log stand-in. Counters apply to the next appends and count down; the rest hold until changed. */
export const LogFaults = z.strictObject({
    /** Every call is answered with 503 and nothing is appended. */
    isDown: z.boolean().default(false),
    /** Calls hang without any answer; an append still takes effect. */
    isSilent: z.boolean().default(false),
    delayMs: z.number().min(0).default(0),
    /** The next appends take effect, and their connection is closed without an answer. */
    loseAnswerCount: z.int().min(0).default(0),
    /** The next appends get no answer and take effect `lateByMs` later. */
    landLateCount: z.int().min(0).default(0),
    lateByMs: z.number().min(0).default(2_000),
    /** The next appends take effect twice. */
    repeatCount: z.int().min(0).default(0),
    /** Appends a second over all streams; more are answered with 429. */
    appendsPerSecond: z.number().positive().optional(),
    /** Records kept a stream; older ones are forgotten. */
    keptRecords: z.int().positive().optional(),
    /** Availability zones, by the `x-availability-zone` header, whose calls are answered. All when absent. */
    reachableZones: z.array(z.string()).optional(),
});
export type LogFaults = z.infer<typeof LogFaults>;
