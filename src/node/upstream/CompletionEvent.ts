import { z } from "zod";

/** The parts of a streamed completion event that the router reads. */
export const CompletionEvent = z.looseObject({
    choices: z.array(z.looseObject({
        delta: z.looseObject({ content: z.string().nullish() }).optional(),
        text: z.string().optional(),
        finish_reason: z.string().nullish(),
    })).default([]),
    cached_prompt_tokens: z.int().optional(),
});
export type CompletionEvent = z.infer<typeof CompletionEvent>;
