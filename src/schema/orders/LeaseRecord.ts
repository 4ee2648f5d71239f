import * as z from "zod";

/**
 * One record of the `leases` stream. `previousOffset` is the offset of the duty's last record that the writer had read, or -1 if none: the
 * record is ignored if another one was accepted in between.
 */
export const LeaseRecord = z.strictObject({
    type: z.literal("lease"),
    formatVersion: z.literal(1),
    duty: z.string(),
    action: z.enum(["acquire", "renew", "release"]),
    holder: z.string(),
    incarnation: z.string(),
    /** Unique value by which the writer recognises its own record. */
    nonce: z.string(),
    previousOffset: z.int(),
    validMs: z.number().positive(),
});
export type LeaseRecord = z.infer<typeof LeaseRecord>;
