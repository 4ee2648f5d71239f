import * as z from "zod";

/** What the head of a call says of its language-model prompt. */
export const PromptMetadata = z.object({
    model: z.string(),
    promptTokens: z.number(),
    maxOutputTokens: z.number(),
    /** Parts of the prompt in order; the last one belongs to this call or its session, the others are shared. */
    parts: z.array(z.object({ id: z.string(), tokens: z.number() }).readonly()).readonly(),
}).readonly();
export type PromptMetadata = z.infer<typeof PromptMetadata>;
