import * as z from "zod";

const Buckets = z.array(z.number().min(0)).max(80);

/**
 * What one VM has observed of an engine's speed: engine id, start time of its incarnation, and the decayed histograms of the time between
 * events of short prompts, of that of long prompts, and of the time to the first event of cached prompts with a short and with a long prefill,
 * each as pairs of bucket index and weight.
 */
export const EngineSpeedSample = z.tuple([z.string(), z.number(), Buckets, Buckets, Buckets, Buckets]);
export type EngineSpeedSample = z.infer<typeof EngineSpeedSample>;
