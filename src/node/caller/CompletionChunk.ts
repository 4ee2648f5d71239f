import * as z from "zod";

const Delta = z.looseObject({
    content: z.string().nullish(),
    refusal: z.string().nullish(),
    tool_calls: z.array(z.looseObject({
        index: z.int(),
        function: z.looseObject({ arguments: z.string().optional() }).optional(),
    })).optional(),
});

/** One event of a streamed completion, as far as it is needed to put a whole answer together. */
export const CompletionChunk = z.looseObject({
    choices: z.array(z.looseObject({ delta: Delta.optional(), text: z.string().optional(), finish_reason: z.string().nullish() })).default(
        [],
    ),
    usage: z.looseObject({}).nullish(),
});
export type CompletionChunk = z.infer<typeof CompletionChunk>;
