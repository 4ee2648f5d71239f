import type { Member } from "../membership/Member.js";
import { selectByRendezvousHash } from "../util/selectByRendezvousHash.js";

/**
 * Up to this many VMs tell each other their loads and each places its own calls. Reports of all to all grow with the square of the fleet: at
 * 87 VMs the links alone took more processor time than the calls.
 */
const maxMeshVms = 24;

/** What was chosen in a view; a view is a new array whenever it changes. */
const chosen = new WeakMap<readonly Member[], Map<string, string | undefined>>();

/**
 * The VM that places the calls of a service for all others, in a fleet that is too large for each VM to know the loads of all; undefined
 * in a small fleet, and while no VM is ready. It follows from the view alone, so that a VM that goes is replaced at once.
 */
export function choosePlacementVm(service: string, members: readonly Member[]): string | undefined {
    if (members.length <= maxMeshVms) {
        return undefined;
    }
    let byService = chosen.get(members);
    if (byService === undefined) {
        byService = new Map();
        chosen.set(members, byService);
    }
    let vm = byService.get(service);
    if (vm === undefined) {
        vm = selectByRendezvousHash(`placing ${service}`, members.filter(member => member.state === "ready").map(member => member.vm));
        byService.set(service, vm);
    }
    return vm;
}
