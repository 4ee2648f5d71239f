import * as z from "zod";

/** What the platform's weight store allows: the answer to `GET /limits`. */
export const WeightStoreLimits = z.object({
    /** Models that may be read at the same time, over all zones. */
    maxConcurrentLoads: z.int().min(0),
});
export type WeightStoreLimits = z.infer<typeof WeightStoreLimits>;
