import * as z from "zod";

/** Metadata of a call's language-model prompt, from the request line or headers. */
export const PromptMetadata = z.object({
    model: z.string(),
    promptTokens: z.number(),
    maxOutputTokens: z.number(),
    /** Parts of the prompt in order. The last one is specific to the call or its session; the others are shared between calls. */
    parts: z.array(z.object({ id: z.string(), tokens: z.number() }).readonly()).readonly(),
}).readonly();
export type PromptMetadata = z.infer<typeof PromptMetadata>;
