import * as z from "zod";
import { DecisionEvent } from "./DecisionEvent.js";
import { ReasonCount } from "./ReasonCount.js";

/** What one VM contributes to an explanation. */
export const ExplanationPart = z.object({
    events: z.array(DecisionEvent),
    reasons: z.array(ReasonCount),
    configOffset: z.int(),
    /** When the VM took that configuration into force. */
    configSinceAtMs: z.number(),
});
export type ExplanationPart = z.infer<typeof ExplanationPart>;
