import { computeRendezvousRank } from "../util/computeRendezvousRank.js";
import type { Member } from "./Member.js";
import { selectCapableVms } from "./selectCapableVms.js";

/** Zero-based rank of `vm` for a duty among the ready VMs: those with the most processor time first, in rendezvous order. */
export function computeDutyRank(duty: string, vm: string, members: readonly Member[]): number {
    const capable = selectCapableVms(members);
    if (capable.includes(vm)) {
        return computeRendezvousRank(duty, vm, capable);
    }
    const others = members.filter(member => member.state === "ready" && !capable.includes(member.vm)).map(member => member.vm);
    return capable.length + computeRendezvousRank(duty, vm, others);
}
