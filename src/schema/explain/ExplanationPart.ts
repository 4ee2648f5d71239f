import * as z from "zod";
import { DecisionEvent } from "./DecisionEvent.js";
import { ReasonCount } from "./ReasonCount.js";

/** One VM's part of an explanation. */
export const ExplanationPart = z.object({
    events: z.array(DecisionEvent),
    reasons: z.array(ReasonCount),
    configOffset: z.int(),
    /** Wall-clock time at which the VM applied the configuration at `configOffset`, in milliseconds since the epoch. */
    configSinceAtMs: z.number(),
});
export type ExplanationPart = z.infer<typeof ExplanationPart>;
