import * as z from "zod";

/** The fields of an OpenAI completion request that the stand-in reads, and the extension fields of the engine protocol. */
export const CompletionBody = z.looseObject({
    model: z.string(),
    messages: z.array(z.looseObject({ role: z.string(), content: z.unknown() })).optional(),
    prompt: z.union([z.string(), z.array(z.string())]).optional(),
    max_tokens: z.int().positive().optional(),
    max_completion_tokens: z.int().positive().optional(),
    stream: z.boolean().default(false),
    stream_options: z.looseObject({ include_usage: z.boolean().optional() }).optional(),
    /** Lower values are more urgent. */
    priority: z.int().default(0),
    /** Number of leading tokens to skip: the response continues the same answer after them. */
    resume_from_token: z.int().nonnegative().default(0),
});
export type CompletionBody = z.infer<typeof CompletionBody>;
