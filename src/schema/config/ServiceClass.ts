import * as z from "zod";

/** A service class: its priority tier, latency targets and queueing limits. Tier 0 has the highest priority. */
export const ServiceClass = z.strictObject({
    name: z.string().min(1).max(64),
    tier: z.int().min(0).max(15),
    /** Latency targets; a request attains its class if it meets every target that is set. */
    firstTokenTargetMs: z.number().positive(),
    tokenGapTargetMs: z.number().positive(),
    totalTargetMs: z.number().positive().optional(),
    /** Share of requests, in (0, 1), that should meet the targets. */
    objective: z.number().gt(0).lt(1).default(0.95),
    /** Maximum time in a queue, after which the request is refused as `not-run`. */
    maxQueueMs: z.number().positive().default(30_000),
    /** Share of capacity, in [0, 1), guaranteed to this class while it has queued requests. */
    floorShare: z.number().min(0).lt(1).default(0),
    /** Whether a request is refused as soon as its first-token target can no longer be met. */
    refuseEarly: z.boolean().default(false),
    defaultMaxOutputTokens: z.int().positive().default(1024),
});
export type ServiceClass = z.infer<typeof ServiceClass>;
