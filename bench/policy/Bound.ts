import * as z from "zod";

/** Limit of one figure, with the target from the issue in `target`. */
export const Bound = z.strictObject({ atLeast: z.number().optional(), atMost: z.number().optional(), target: z.string() });
export type Bound = z.infer<typeof Bound>;
