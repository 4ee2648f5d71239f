import * as z from "zod";

/** States that a VM has left or failed. A record of the same incarnation with a higher version refutes it. */
export const MemberTombstone = z.object({
    vm: z.string().min(1).max(64),
    incarnation: z.string().min(1).max(64),
    version: z.int().min(0),
    /** Time since the VM was declared gone. */
    ageMs: z.number().min(0),
    /** Whether the VM itself announced that it stops, so that it cannot merely be unreachable. */
    hasLeft: z.boolean(),
});
export type MemberTombstone = z.infer<typeof MemberTombstone>;
