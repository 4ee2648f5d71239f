import type { DecisionEvent } from "../../schema/explain/DecisionEvent.js";
import type { CallDependencies } from "./CallDependencies.js";
import type { CallerRequest } from "./CallerRequest.js";

/** Records a decision event about a request. */
export function recordDecision(
    dependencies: CallDependencies,
    request: CallerRequest,
    kind: DecisionEvent["kind"],
    facts: DecisionEvent["facts"],
): void {
    dependencies.recorder.record({
        atMs: dependencies.scheduler.wallMs(),
        vm: dependencies.vm,
        kind,
        subject: request.requestId,
        serviceClass: request.serviceClass.name,
        facts,
    });
}
