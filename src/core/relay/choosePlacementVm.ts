import type { Member } from "../membership/Member.js";
import { selectCapableVms } from "../membership/selectCapableVms.js";
import { selectByRendezvousHash } from "../util/selectByRendezvousHash.js";

/**
 * Largest fleet in which all VMs report their loads to each other and each places its own calls. These reports grow with the square of the
 * number of VMs: with 87 VMs their links took more CPU time than the calls.
 */
const maxMeshVms = 24;

/** Chosen VM by service, for each membership view; a changed view is a new array. */
const chosenByView = new WeakMap<readonly Member[], Map<string, string | undefined>>();

/**
 * Chooses the VM that places the calls of a service for all VMs, in a fleet that is too large for each VM to track the loads of all others.
 * Returns undefined in a smaller fleet and while no VM is ready. The choice depends only on the membership view, so that a VM that leaves
 * is replaced at once.
 */
export function choosePlacementVm(service: string, members: readonly Member[]): string | undefined {
    if (members.length <= maxMeshVms) {
        return undefined;
    }
    let byService = chosenByView.get(members);
    if (byService === undefined) {
        byService = new Map();
        chosenByView.set(members, byService);
    }
    let vm = byService.get(service);
    if (vm === undefined) {
        vm = selectByRendezvousHash(`placing ${service}`, selectCapableVms(members));
        byService.set(service, vm);
    }
    return vm;
}
