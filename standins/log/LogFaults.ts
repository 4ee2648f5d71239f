import * as z from "zod";

/** Faults of the log stand-in. Counters apply to the next appends and count down; the other faults hold until changed. */
export const LogFaults = z.strictObject({
    /** Every request is answered with status 503 and nothing is appended. */
    isDown: z.boolean().default(false),
    /** Requests get no response; appends still take effect. */
    isSilent: z.boolean().default(false),
    delayMs: z.number().min(0).default(0),
    /** Number of next appends that take effect but get no response. */
    loseAnswerCount: z.int().min(0).default(0),
    /** Number of next appends that get no response and take effect after `lateByMs`. */
    landLateCount: z.int().min(0).default(0),
    lateByMs: z.number().min(0).default(2_000),
    /** Number of next appends that are stored twice. */
    repeatCount: z.int().min(0).default(0),
    /** Rate limit for appends per second over all streams; appends above it are answered with status 429. */
    appendsPerSecond: z.number().positive().optional(),
    /** Number of records retained per stream; older ones are dropped. */
    keptRecords: z.int().positive().optional(),
    /** Availability zones whose requests are answered, by the `x-availability-zone` header; all when absent. */
    reachableZones: z.array(z.string()).optional(),
});
export type LogFaults = z.infer<typeof LogFaults>;
