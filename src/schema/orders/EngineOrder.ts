import * as z from "zod";

/** One order to an engine: the body of `POST /orders`. */
export const EngineOrder = z.object({
    fencingNumber: z.int(),
    /** Unique; an engine that gets an order twice runs it once. */
    orderId: z.string(),
    action: z.enum(["load", "unload", "role"]),
    model: z.string(),
    version: z.string(),
    adapter: z.string().optional(),
    role: z.enum(["prefill", "decode", "both"]),
});
export type EngineOrder = z.infer<typeof EngineOrder>;
