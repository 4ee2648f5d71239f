import { z } from "zod";

/** An order to an engine. `fencing` is the number of the lease under which it is given. */
export const EngineOrder = z.object({
    kind: z.enum(["load", "unload", "change-role"]),
    model: z.string().optional(),
    version: z.string().optional(),
    adapter: z.string().optional(),
    role: z.enum(["prefill", "decode", "both"]).optional(),
    fencing: z.int(),
});
export type EngineOrder = z.infer<typeof EngineOrder>;
