import { z } from "zod";

/** Work of one VM on one upstream: id, calls in flight, of these streams that have begun, milliseconds for prompts not read yet. */
export const UpstreamLoad = z.tuple([z.string(), z.int().min(0), z.int().min(0), z.number().min(0)]);
export type UpstreamLoad = z.infer<typeof UpstreamLoad>;
