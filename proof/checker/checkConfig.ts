import type { ConfigEvent } from "./ConfigEvent.js";
import { NaiveConfig } from "./NaiveConfig.js";
import type { Violation } from "./Violation.js";

type EventOf<T extends ConfigEvent["type"]> = Extract<ConfigEvent, { type: T; }>;

const emptyContent = "[]";

/** Returns every violated invariant of the configuration in a recorded history. */
export function checkConfig(events: readonly ConfigEvent[]): Violation[] {
    const naive = new NaiveConfig();
    for (const event of events) {
        if (event.type === "landed") {
            naive.fold(event.offset, event.payload);
        }
    }
    return [
        ...checkAppliedOnce(naive),
        ...checkViews(events, naive),
        ...checkTold(events, naive),
        ...checkAcceptedNotReverted(events),
        ...checkConvergence(events, naive),
    ];
}

/** `applied-twice`: one change took effect at two offsets. */
function checkAppliedOnce(naive: NaiveConfig): Violation[] {
    return [...naive.applied]
        .filter(([, offsets]) => offsets.length > 1)
        .map(([author, offsets]) => ({
            invariant: "applied-twice",
            detail: `change of ${author} was applied at offsets ${offsets.join(", ")}`,
        }));
}

/** `moved-back`: a VM's offset decreased; `split`: a VM's state differs from the fold of the stream up to its offset. */
function checkViews(events: readonly ConfigEvent[], naive: NaiveConfig): Violation[] {
    const violations: Violation[] = [];
    const lastOffsets = new Map<string, number>();
    for (const event of events) {
        if (event.type !== "view") {
            continue;
        }
        const id = `${event.vm}/${event.incarnation}`;
        if (event.offset < (lastOffsets.get(id) ?? -1)) {
            violations.push({ invariant: "moved-back", detail: `${id} went back from offset ${lastOffsets.get(id)} to ${event.offset}` });
        }
        lastOffsets.set(id, event.offset);
        const expected = event.offset < 0 ? emptyContent : naive.contents[event.offset];
        if (event.content !== expected) {
            violations.push({
                invariant: "split",
                detail: `${id} holds ${event.content} at offset ${event.offset}, expected ${expected}`,
            });
        }
    }
    return violations;
}

/** `false-accept`, `false-pending` and `false-refusal`: the result given to an operator contradicts what took effect. */
function checkTold(events: readonly ConfigEvent[], naive: NaiveConfig): Violation[] {
    const violations: Violation[] = [];
    const told = new Map(events.filter(event => event.type === "told").map(event => [event.author, event]));
    for (const event of told.values()) {
        const offset = naive.applied.get(event.author)?.[0];
        if (event.told.status === "accepted") {
            const behind = event.fleet.filter(vm => vm.isReady && vm.offset < (offset ?? Infinity));
            if (offset !== event.told.offset || behind.length > 0) {
                const names = behind.map(vm => vm.vm).join(", ");
                violations.push({
                    invariant: "false-accept",
                    detail: `change of ${event.author} was accepted at offset ${event.told.offset}, VMs behind: ${names}`,
                });
            }
        }
        else if (event.told.status === "pending") {
            if (offset !== event.told.offset || event.told.pendingZones.length === 0) {
                violations.push({
                    invariant: "false-pending",
                    detail: `change of ${event.author} was reported pending at offset ${event.told.offset}`,
                });
            }
        }
        else if (event.told.status !== "unknown" && offset !== undefined) {
            violations.push({
                invariant: "false-refusal",
                detail: `change of ${event.author} was reported as ${event.told.status}, but applied at offset ${offset}`,
            });
        }
    }
    return violations;
}

/** `accepted-reverted`: a ready VM is behind an offset that was reported as accepted. */
function checkAcceptedNotReverted(events: readonly ConfigEvent[]): Violation[] {
    const violations: Violation[] = [];
    let accepted = -1;
    for (const event of events) {
        if (event.type === "told" && event.told.status === "accepted") {
            accepted = Math.max(accepted, event.told.offset);
        }
        if (event.type === "view" && event.isReady && event.offset < accepted) {
            violations.push({
                invariant: "accepted-reverted",
                detail: `${event.vm} is ready at offset ${event.offset} after offset ${accepted} was accepted`,
            });
        }
    }
    return violations;
}

/** `not-spread`: after all faults a VM is not ready or not at the end of the stream; `never-told`: a VM that is up gave no result. */
function checkConvergence(events: readonly ConfigEvent[], naive: NaiveConfig): Violation[] {
    const settled = events.find((event): event is EventOf<"settled"> => event.type === "settled");
    if (settled === undefined) {
        return [];
    }
    const end = naive.contents.length - 1;
    const behind = settled.fleet.filter(vm => !vm.isReady || vm.offset !== end);
    const told = new Set(events.filter(event => event.type === "told").map(event => event.author));
    const unanswered = events.filter(event => event.type === "asked").filter(asked =>
        !told.has(asked.author) && settled.fleet.some(vm => vm.vm === asked.vm && vm.incarnation === asked.incarnation)
    );
    return [
        ...behind.map(vm => ({ invariant: "not-spread", detail: `${vm.vm} is at offset ${vm.offset} of ${end}, ready: ${vm.isReady}` })),
        ...unanswered.map(asked => ({ invariant: "never-told", detail: `${asked.author} got no result from ${asked.vm}` })),
    ];
}
