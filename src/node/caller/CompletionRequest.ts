import * as z from "zod";

const Message = z.looseObject({ role: z.string() });

/** The fields of a completion request that the router reads. All other fields are forwarded to the engine unchanged. */
export const CompletionRequest = z.looseObject({
    model: z.string().min(1).max(256),
    messages: z.array(Message).min(1).optional(),
    prompt: z.union([z.string(), z.array(z.string()).max(1)]).optional(),
    max_tokens: z.int().positive().nullish(),
    max_completion_tokens: z.int().positive().nullish(),
    stream: z.boolean().nullish(),
    stream_options: z.looseObject({ include_usage: z.boolean().nullish() }).nullish(),
    n: z.literal(1, "only one completion per request is supported; send several requests instead").nullish(),
});
export type CompletionRequest = z.infer<typeof CompletionRequest>;
