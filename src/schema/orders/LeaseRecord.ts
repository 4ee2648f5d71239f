import * as z from "zod";

/**
 * One record of the `leases` stream. `previousOffset` is the last record of the duty that its writer had read, -1 for none: the record
 * counts only when no other came between.
 */
export const LeaseRecord = z.strictObject({
    type: z.literal("lease"),
    formatVersion: z.literal(1),
    duty: z.string(),
    action: z.enum(["acquire", "renew", "release"]),
    holder: z.string(),
    incarnation: z.string(),
    /** Unique, by which the writer recognises its own record. */
    nonce: z.string(),
    previousOffset: z.int(),
    validMs: z.number().positive(),
});
export type LeaseRecord = z.infer<typeof LeaseRecord>;
