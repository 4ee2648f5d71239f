import * as z from "zod";

/** One decision of the fleet. `subject` is a request id, or the name of what the decision is about. */
export const DecisionEvent = z.object({
    /** Wall-clock time, milliseconds since the epoch. */
    atMs: z.number(),
    vm: z.string(),
    kind: z.enum([
        "received",
        "limited",
        "path",
        "queued",
        "granted",
        "preempted",
        "shed",
        "sent",
        "first-token",
        "retried",
        "hedged",
        "continued",
        "finished",
        "refused",
        "claimed",
        "joined",
        "replayed",
        "handed-over",
        "member",
        "zone",
        "config",
        "order",
        "upstream",
        "drain",
        "judged",
    ]),
    subject: z.string(),
    /** Class of the request, where there is one. */
    serviceClass: z.string().optional(),
    /** Short facts of the decision, such as upstream, position, predicted finish in ms. */
    facts: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
});
export type DecisionEvent = z.infer<typeof DecisionEvent>;
