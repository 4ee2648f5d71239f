import * as z from "zod";

/** Value of the key `lease` in the topic of the duties: one acquisition, renewal or release. */
export const DutyLeaseRecord = z.object({
    holder: z.string(),
    incarnation: z.string(),
    /** Unique value by which the writer recognises its own record when the reply to its append is lost. */
    nonce: z.string(),
    /** Epoch of the store that the writer knew; the record counts only in this epoch. */
    epoch: z.int(),
    /** Time since the fleet first saw this epoch, if it saw the store come back from a copy. */
    epochAgeMs: z.number().nonnegative().optional(),
    fencingNumber: z.int(),
    isReleased: z.boolean(),
});
export type DutyLeaseRecord = z.infer<typeof DutyLeaseRecord>;
