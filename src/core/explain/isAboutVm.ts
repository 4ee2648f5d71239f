import type { DecisionEvent } from "../../schema/explain/DecisionEvent.js";

const vmEventKinds: ReadonlySet<DecisionEvent["kind"]> = new Set(["handed-over", "member", "zone", "config", "order", "upstream", "drain"]);

/** Whether an event is of a kind that concerns VMs rather than requests, and `vm` recorded it or is its subject. */
export function isAboutVm(event: DecisionEvent, vm: string): boolean {
    return vmEventKinds.has(event.kind) && (event.vm === vm || event.subject === vm);
}
