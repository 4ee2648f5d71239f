import * as z from "zod";

/** What a caller is told about its call: `not-run` only when no upstream ran any of it. */
export const Outcome = z.enum(["not-run", "ran", "unknown"]);
export type Outcome = z.infer<typeof Outcome>;
