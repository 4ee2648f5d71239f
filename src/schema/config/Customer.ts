import * as z from "zod";

/** A customer: hashed keys, permitted service classes and limits over the whole fleet. */
export const Customer = z.strictObject({
    name: z.string().min(1).max(64),
    /** Lower-case hex SHA-256 of each bearer key. */
    keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)).max(8),
    classes: z.array(z.string()).min(1).max(16),
    defaultClass: z.string(),
    requestsPerMinute: z.int().positive().optional(),
    tokensPerMinute: z.int().positive().optional(),
    concurrentRequests: z.int().positive().optional(),
});
export type Customer = z.infer<typeof Customer>;
