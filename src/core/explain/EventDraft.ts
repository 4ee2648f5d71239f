import type { DecisionEvent } from "../../schema/explain/DecisionEvent.js";

/** A decision event before its timestamp and VM are added. */
export type EventDraft = Pick<DecisionEvent, "kind" | "subject" | "facts">;
