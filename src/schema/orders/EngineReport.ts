import * as z from "zod";

/** An engine's report of its own state: the response to `GET /orders/state`. */
export const EngineReport = z.object({
    models: z.array(z.object({
        model: z.string(),
        version: z.string(),
        adapter: z.string().optional(),
        state: z.enum(["ready", "loading", "unloading", "failed"]),
    })),
    role: z.enum(["prefill", "decode", "both"]),
    /** Highest fencing number that the engine has seen; -1 if it has seen none or does not check fencing. */
    fencingNumber: z.int(),
});
export type EngineReport = z.infer<typeof EngineReport>;
