import * as z from "zod";

/** A customer: key hashes, permitted service classes and fleet-wide limits. */
export const Customer = z.strictObject({
    name: z.string().min(1).max(64),
    /** SHA-256 of each bearer key, in lower-case hex. */
    keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)).max(8),
    classes: z.array(z.string()).min(1).max(16),
    defaultClass: z.string(),
    requestsPerMinute: z.int().positive().optional(),
    tokensPerMinute: z.int().positive().optional(),
    concurrentRequests: z.int().positive().optional(),
});
export type Customer = z.infer<typeof Customer>;
