import * as z from "zod";

/** An order to an engine: the body of `POST /orders`. */
export const EngineOrder = z.object({
    fencingNumber: z.int(),
    /** Unique id by which the engine ignores duplicates of an order. */
    orderId: z.string(),
    action: z.enum(["load", "unload", "role"]),
    model: z.string(),
    version: z.string(),
    adapter: z.string().optional(),
    role: z.enum(["prefill", "decode", "both"]),
});
export type EngineOrder = z.infer<typeof EngineOrder>;
