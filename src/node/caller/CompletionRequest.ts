import * as z from "zod";

const Message = z.looseObject({ role: z.string() });

/** What the router reads of a completion request; every other field is passed on to the engine as it came. */
export const CompletionRequest = z.looseObject({
    model: z.string().min(1).max(256),
    messages: z.array(Message).min(1).optional(),
    prompt: z.union([z.string(), z.array(z.string()).max(1)]).optional(),
    max_tokens: z.int().positive().nullish(),
    max_completion_tokens: z.int().positive().nullish(),
    stream: z.boolean().nullish(),
    stream_options: z.looseObject({ include_usage: z.boolean().nullish() }).nullish(),
    n: z.literal(1, "only one answer a request is served; send more requests instead").nullish(),
});
export type CompletionRequest = z.infer<typeof CompletionRequest>;
