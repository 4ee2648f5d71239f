import * as z from "zod";

/** What an operator wants explained. */
export const ExplainQuery = z.discriminatedUnion("type", [
    z.object({ type: z.literal("request"), requestId: z.string() }),
    z.object({ type: z.literal("class"), serviceClass: z.string(), sinceMs: z.number() }),
    z.object({ type: z.literal("vm"), vm: z.string() }),
    z.object({ type: z.literal("config") }),
]);
export type ExplainQuery = z.infer<typeof ExplainQuery>;
