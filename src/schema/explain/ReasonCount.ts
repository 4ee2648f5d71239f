import * as z from "zod";

/** Number of requests that were late or refused for one reason, with a few example request ids. */
export const ReasonCount = z.object({ reason: z.string(), count: z.int(), exampleRequestIds: z.array(z.string()) });
export type ReasonCount = z.infer<typeof ReasonCount>;
