import * as z from "zod";

/** Wanted placement in a pool: `replicas` engines serve this model version and adapter in this role. */
export const ModelPlacement = z.strictObject({
    model: z.string().min(1),
    version: z.string().min(1),
    adapter: z.string().optional(),
    role: z.enum(["prefill", "decode", "both"]).default("both"),
    replicas: z.int().min(0),
});
export type ModelPlacement = z.infer<typeof ModelPlacement>;
