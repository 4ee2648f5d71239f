import * as z from "zod";
import { DecisionEvent } from "./DecisionEvent.js";
import { ReasonCount } from "./ReasonCount.js";

/** Decisions found over the fleet, in the order of time, and what they sum to. */
export const Explanation = z.object({
    events: z.array(DecisionEvent),
    reasons: z.array(ReasonCount),
    askedVms: z.array(z.string()),
    /** VMs that did not answer: what they decided is missing here. */
    silentVms: z.array(z.string()),
    held: z.array(z.object({
        vm: z.string(),
        availabilityZone: z.string(),
        configOffset: z.int(),
        sinceAtMs: z.number().optional(),
    })),
});
export type Explanation = z.infer<typeof Explanation>;
