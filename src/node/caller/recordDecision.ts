import type { DecisionEvent } from "../../schema/explain/DecisionEvent.js";
import type { CallDependencies } from "./CallDependencies.js";
import type { CallerRequest } from "./CallerRequest.js";

/** Records one decision about a request. */
export function recordDecision(
    parts: CallDependencies,
    request: CallerRequest,
    kind: DecisionEvent["kind"],
    facts: DecisionEvent["facts"],
): void {
    parts.recorder.record({
        atMs: parts.scheduler.wallMs(),
        vm: parts.vm,
        kind,
        subject: request.requestId,
        serviceClass: request.serviceClass.name,
        facts,
    });
}
