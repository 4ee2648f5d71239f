import * as z from "zod";

const Delta = z.looseObject({
    content: z.string().nullish(),
    refusal: z.string().nullish(),
    tool_calls: z.array(z.looseObject({
        index: z.int(),
        function: z.looseObject({ arguments: z.string().optional() }).optional(),
    })).optional(),
});

/** The fields of a streamed completion event that are needed to assemble a complete response. */
export const CompletionChunk = z.looseObject({
    choices: z.array(z.looseObject({ delta: Delta.optional(), text: z.string().optional(), finish_reason: z.string().nullish() })).default(
        [],
    ),
    usage: z.looseObject({}).nullish(),
});
export type CompletionChunk = z.infer<typeof CompletionChunk>;
