import * as z from "zod";

/** Limits of the platform's weight store: the response to `GET /limits`. */
export const WeightStoreLimits = z.object({
    /** Maximum number of concurrent model loads over all availability zones. */
    maxConcurrentLoads: z.int().min(0),
});
export type WeightStoreLimits = z.infer<typeof WeightStoreLimits>;
