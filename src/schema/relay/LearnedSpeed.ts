import * as z from "zod";

/** Learned speed of an engine that is outside the band: engine id, start time of its incarnation, and speed relative to the median engine. */
export const LearnedSpeed = z.tuple([z.string(), z.number(), z.number().min(0.05).max(20)]);
export type LearnedSpeed = z.infer<typeof LearnedSpeed>;
