import * as z from "zod";
import { LoadPlan } from "./LoadPlan.js";

/** First line of a results file of JSON lines; one `LoadSample` line for each request follows. */
export const LoadRunHeader = z.object({
    type: z.literal("run"),
    startedAtMs: z.number(),
    durationMs: z.number(),
    seed: z.int(),
    targets: LoadPlan.shape.targets,
});
export type LoadRunHeader = z.infer<typeof LoadRunHeader>;
