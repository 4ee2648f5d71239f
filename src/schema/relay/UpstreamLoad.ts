import * as z from "zod";

const Count = z.int().min(0);

/**
 * Load of one VM on one upstream: upstream id, number of in-flight calls, how many of them are streams that have started, and pending
 * prefill time in milliseconds, indexed by the priority offset of the calls (the `delay` of a placement).
 */
export const UpstreamLoad = z.tuple([z.string(), Count, Count, z.array(Count)]);
export type UpstreamLoad = z.infer<typeof UpstreamLoad>;
