import * as z from "zod";

/** One upstream of a pool: a model engine or a plain service instance. */
export const Upstream = z.strictObject({
    id: z.string().min(1).max(64),
    url: z.url(),
    availabilityZone: z.string().min(1),
    /** A leaving upstream receives no new work. */
    leaving: z.boolean().default(false),
});
export type Upstream = z.infer<typeof Upstream>;
