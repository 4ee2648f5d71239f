import * as z from "zod";

/** How many requests were late or refused for one reason, with a few of them to look at. */
export const ReasonCount = z.object({ reason: z.string(), count: z.int(), exampleRequestIds: z.array(z.string()) });
export type ReasonCount = z.infer<typeof ReasonCount>;
