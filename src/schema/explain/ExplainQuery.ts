import * as z from "zod";

/** A query for recorded decisions: on a request, a service class since a time, a VM, or the configuration. */
export const ExplainQuery = z.discriminatedUnion("type", [
    z.object({ type: z.literal("request"), requestId: z.string() }),
    z.object({ type: z.literal("class"), serviceClass: z.string(), sinceMs: z.number() }),
    z.object({ type: z.literal("vm"), vm: z.string() }),
    z.object({ type: z.literal("config") }),
]);
export type ExplainQuery = z.infer<typeof ExplainQuery>;
