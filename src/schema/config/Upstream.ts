import * as z from "zod";

/** One upstream of a pool: a model engine or an instance of a plain service. */
export const Upstream = z.strictObject({
    id: z.string().min(1).max(64),
    url: z.url(),
    availabilityZone: z.string().min(1),
    /** An upstream that is leaving receives no new requests. */
    leaving: z.boolean().default(false),
});
export type Upstream = z.infer<typeof Upstream>;
