import * as z from "zod";

const count = z.int().min(0);

/**
 * Work of one VM on one upstream: its id, calls in flight, of these streams that have begun, milliseconds for prompts not read yet by the
 * delay with which they were sent.
 */
export const UpstreamLoad = z.tuple([z.string(), count, count, z.array(count)]);
export type UpstreamLoad = z.infer<typeof UpstreamLoad>;
