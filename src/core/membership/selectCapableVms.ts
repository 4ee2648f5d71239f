import type { Member } from "./Member.js";

/** A VM with at least this share of the processor time of the largest one is as good for a duty. */
const minProcessorShare = 0.5;

const selectedByView = new WeakMap<readonly Member[], readonly string[]>();

/**
 * Selects the ready VMs with the most processor time, which take the duties that one VM has for the fleet: on a small VM they would delay its
 * callers and all that depend on the duty. `members` is a membership view; a changed view is a new array.
 */
export function selectCapableVms(members: readonly Member[]): readonly string[] {
    let selected = selectedByView.get(members);
    if (selected === undefined) {
        const ready = members.filter(member => member.state === "ready");
        const largestShare = Math.max(0, ...ready.map(({ processorShare }) => processorShare));
        selected = ready.filter(({ processorShare }) => processorShare >= largestShare * minProcessorShare).map(({ vm }) => vm);
        selectedByView.set(members, selected);
    }
    return selected;
}
