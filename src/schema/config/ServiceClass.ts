import * as z from "zod";

/** A service class: its priority tier, latency targets and bounds on waiting. Tier 0 is served first. */
export const ServiceClass = z.strictObject({
    name: z.string().min(1).max(64),
    tier: z.int().min(0).max(15),
    /** Latency targets; a request attains its class when it meets every target that is set. */
    firstTokenTargetMs: z.number().positive(),
    tokenGapTargetMs: z.number().positive(),
    totalTargetMs: z.number().positive().optional(),
    /** Share of requests, in (0, 1), that must attain the targets. */
    objective: z.number().gt(0).lt(1).default(0.95),
    /** Longest wait in a queue before the request is refused as not run. */
    maxQueueMs: z.number().positive().default(30_000),
    /** Share of capacity, in [0, 1), guaranteed to this class while it has work waiting. */
    floorShare: z.number().min(0).lt(1).default(0),
    /** Refuse at once when the first-token target can no longer be met. */
    refuseEarly: z.boolean().default(false),
    defaultMaxOutputTokens: z.int().positive().default(1024),
});
export type ServiceClass = z.infer<typeof ServiceClass>;
