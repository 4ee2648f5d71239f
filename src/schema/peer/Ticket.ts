import * as z from "zod";

/** What a dispatcher knows of a waiting request; the request itself stays on the entry VM. Times are durations, as VM clocks differ. */
export const Ticket = z.object({
    /** Unique over the fleet; a re-offer keeps the id and raises `attempt`. */
    requestId: z.string(),
    attempt: z.int().min(0),
    entryVm: z.string(),
    availabilityZone: z.string(),
    customer: z.string(),
    serviceClass: z.string(),
    tier: z.int(),
    pool: z.string(),
    service: z.string(),
    promptTokens: z.int(),
    maxOutputTokens: z.int(),
    /** Hashes of successive prompt blocks, for prefix-cache affinity. */
    prefixHashes: z.array(z.int()).max(64),
    /** Time already waited on the entry VM. */
    waitedMs: z.number(),
    firstTokenTargetMs: z.number(),
    maxQueueMs: z.number(),
    /** Its caller already has part of the answer: it is not refused early, nor preempted again. */
    isResumed: z.boolean().optional(),
    /** Upstreams that this request must not be given again. */
    excludedUpstreams: z.array(z.string()).max(16),
});
export type Ticket = z.infer<typeof Ticket>;
