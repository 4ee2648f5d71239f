import type { DecisionEvent } from "../../schema/explain/DecisionEvent.js";

/** Keeps recent decisions for `explain`. Must be cheap: it is called on the request path. */
export interface EventRecorder {
    record(event: DecisionEvent): void;
}
