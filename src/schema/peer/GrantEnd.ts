import * as z from "zod";

/** How a grant ended, told to the dispatcher so that it frees the slot and learns from what was seen. */
export const GrantEnd = z.object({
    result: z.enum(["completed", "failed", "cancelled", "unused"]),
    outputTokens: z.int(),
    firstTokenMs: z.number().optional(),
    /** Largest and mean gap between tokens. */
    maxTokenGapMs: z.number().optional(),
    meanTokenGapMs: z.number().optional(),
    cachedPromptTokens: z.int().optional(),
});
export type GrantEnd = z.infer<typeof GrantEnd>;
