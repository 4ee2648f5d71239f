import * as z from "zod";

/** Execution outcome reported to the caller; `not-run` only if no upstream has run any part of the call. */
export const Outcome = z.enum(["not-run", "ran", "unknown"]);
export type Outcome = z.infer<typeof Outcome>;
