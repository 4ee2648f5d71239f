import type { DecisionEvent } from "../../schema/explain/DecisionEvent.js";

/** Records decisions for `explain`. Called on the request path, so it must be cheap. */
export interface EventRecorder {
    record(event: DecisionEvent): void;
}
