import * as z from "zod";

/** How a grant ended; on receipt, the dispatcher frees the slot and updates its estimates with the measurements. */
export const GrantEnd = z.object({
    result: z.enum(["completed", "failed", "cancelled", "unused"]),
    outputTokens: z.int(),
    firstTokenMs: z.number().optional(),
    /** Maximum and mean token gap. */
    maxTokenGapMs: z.number().optional(),
    meanTokenGapMs: z.number().optional(),
    cachedPromptTokens: z.int().optional(),
});
export type GrantEnd = z.infer<typeof GrantEnd>;
