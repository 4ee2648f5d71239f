import * as z from "zod";

/** Value of the key `usage` in the topic of the duties: the counts of the last windows, exactly as they are reported. */
export const UsageRecord = z.object({
    /** Fencing number of the holder that wrote the record. */
    fencingNumber: z.int().min(0),
    windows: z.array(z.object({ index: z.int(), counts: z.record(z.string(), z.int().min(0)) })),
});
export type UsageRecord = z.infer<typeof UsageRecord>;
