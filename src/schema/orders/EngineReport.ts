import * as z from "zod";

/** What an engine says of itself: the answer to `GET /orders/state`. */
export const EngineReport = z.object({
    models: z.array(z.object({
        model: z.string(),
        version: z.string(),
        adapter: z.string().optional(),
        state: z.enum(["ready", "loading", "unloading", "failed"]),
    })),
    role: z.enum(["prefill", "decode", "both"]),
    /** Highest fencing number that the engine has seen; -1 when none, or when it does not check. */
    fencingNumber: z.int(),
});
export type EngineReport = z.infer<typeof EngineReport>;
