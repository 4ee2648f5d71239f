import * as z from "zod";

/** A VM has left or crashed; a record of the same incarnation with a higher version refutes it. */
export const MemberTombstone = z.object({
    vm: z.string().min(1).max(64),
    incarnation: z.string().min(1).max(64),
    version: z.int().min(0),
    /** Time since a VM that watched it came to this. */
    ageMs: z.number().min(0),
    /** The VM itself said that it stops, so that it is not just out of reach. */
    hasLeft: z.boolean(),
});
export type MemberTombstone = z.infer<typeof MemberTombstone>;
