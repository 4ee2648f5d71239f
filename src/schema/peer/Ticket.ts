import * as z from "zod";

/** A queued request as the dispatcher sees it; the request itself stays on the entry VM. Times are durations because VM clocks differ. */
export const Ticket = z.object({
    /** Unique within the fleet; when a ticket is offered again, it keeps the id and increments `attempt`. */
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
    /** Hashes of successive prompt prefixes, for prefix-cache affinity. */
    prefixHashes: z.array(z.int()).max(64),
    /** Time that the request had already waited on the entry VM. */
    waitedMs: z.number(),
    firstTokenTargetMs: z.number(),
    maxQueueMs: z.number(),
    /** Whether the caller already has part of the response; such a request is not refused early, hedged or preempted again. */
    isResumed: z.boolean().optional(),
    /** Upstreams that must not be assigned to this request again. */
    excludedUpstreams: z.array(z.string()).max(16),
});
export type Ticket = z.infer<typeof Ticket>;
