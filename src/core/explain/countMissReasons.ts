import type { DecisionEvent } from "../../schema/explain/DecisionEvent.js";
import type { ReasonCount } from "../../schema/explain/ReasonCount.js";
import { mergeReasonCounts } from "./mergeReasonCounts.js";

/** Counts the reasons for which requests missed the targets of their class, from their `judged` events; most frequent first. */
export function countMissReasons(events: readonly DecisionEvent[]): ReasonCount[] {
    const missed = events.filter(event => event.kind === "judged" && typeof event.facts["missed"] === "string");
    return mergeReasonCounts(
        missed.map(event => ({ reason: String(event.facts["missed"]), count: 1, exampleRequestIds: [event.subject] })),
    );
}
