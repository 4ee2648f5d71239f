import * as z from "zod";

/** One recorded decision. `subject` is a request id, or the name of the object that the decision concerns. */
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
    /** Service class of the request; omitted for decisions about other subjects. */
    serviceClass: z.string().optional(),
    /** Details of the decision, such as the upstream, the queue position or the predicted finish in milliseconds. */
    facts: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
});
export type DecisionEvent = z.infer<typeof DecisionEvent>;
