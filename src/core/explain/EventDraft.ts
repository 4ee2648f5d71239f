import type { DecisionEvent } from "../../schema/explain/DecisionEvent.js";

/** A decision event before its time and VM are put to it. */
export type EventDraft = Pick<DecisionEvent, "kind" | "subject" | "facts">;
