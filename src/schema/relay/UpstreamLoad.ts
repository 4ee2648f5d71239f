import { z } from "zod";

const count = z.int().min(0);

/** Work of one VM on one upstream: its id, calls in flight, of these streams that have begun, milliseconds for prompts not read yet. */
export const UpstreamLoad = z.tuple([z.string(), count, count, count]);
export type UpstreamLoad = z.infer<typeof UpstreamLoad>;
