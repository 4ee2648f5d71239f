import * as z from "zod";

/**
 * Why admission refuses a call. `time-limit`: it is not expected to begin before its caller stops waiting; `over-share`: the same, as its
 * customer is over its share; `repeated`: it came back before its `Retry-After` was over.
 */
export const RefusalReason = z.enum(["time-limit", "over-share", "repeated"]);
export type RefusalReason = z.infer<typeof RefusalReason>;
