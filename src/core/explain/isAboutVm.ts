import type { DecisionEvent } from "../../schema/explain/DecisionEvent.js";

const dutyKinds: ReadonlySet<DecisionEvent["kind"]> = new Set(["handed-over", "member", "zone", "config", "order", "upstream", "drain"]);

/** Whether an event tells of a VM's duties, membership or drain: decided there, or elsewhere about it. */
export function isAboutVm(event: DecisionEvent, vm: string): boolean {
    return dutyKinds.has(event.kind) && (event.vm === vm || event.subject === vm);
}
