import * as z from "zod";
import { DecisionEvent } from "./DecisionEvent.js";
import { ReasonCount } from "./ReasonCount.js";

/** Decisions collected from the whole fleet in chronological order, and the sums of their reason counts. */
export const Explanation = z.object({
    events: z.array(DecisionEvent),
    reasons: z.array(ReasonCount),
    askedVms: z.array(z.string()),
    /** VMs that did not respond; their decisions are missing. */
    silentVms: z.array(z.string()),
    /** Configuration in force on each visible VM; `sinceAtMs` is omitted for a VM that did not respond. */
    held: z.array(z.object({
        vm: z.string(),
        availabilityZone: z.string(),
        configOffset: z.int(),
        sinceAtMs: z.number().optional(),
    })),
});
export type Explanation = z.infer<typeof Explanation>;
