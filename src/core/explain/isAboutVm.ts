import type { DecisionEvent } from "../../schema/explain/DecisionEvent.js";

const vmEventKinds: ReadonlySet<DecisionEvent["kind"]> = new Set(["handed-over", "member", "zone", "config", "order", "upstream", "drain"]);

/** Whether an event concerns a VM's duties, membership, configuration or drain: recorded by that VM, or by another VM about it. */
export function isAboutVm(event: DecisionEvent, vm: string): boolean {
    return vmEventKinds.has(event.kind) && (event.vm === vm || event.subject === vm);
}
