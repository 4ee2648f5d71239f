import * as z from "zod";

/** Percentage of a service's traffic in one service class that takes the new path. The name is `service/class`. */
export const PathShare = z.strictObject({
    name: z.string().min(3),
    service: z.string().min(1),
    serviceClass: z.string().min(1),
    newPathPercent: z.number().min(0).max(100),
});
export type PathShare = z.infer<typeof PathShare>;
