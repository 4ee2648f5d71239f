import type { Member } from "../membership/Member.js";
import { rendezvous } from "../util/rendezvous.js";

/**
 * Up to this many VMs tell each other their loads and each places its own calls. Reports of all to all grow with the square of the fleet: at
 * 87 VMs the links alone took more processor time than the calls.
 */
const maxMeshVms = 24;

/**
 * The VM that places the calls of a service for all others, in a fleet that is too large for each VM to know the loads of all; undefined
 * in a small fleet, and while no VM is ready. It follows from the view alone, so that a VM that goes is replaced at once.
 */
export function placingVm(service: string, members: readonly Member[]): string | undefined {
    if (members.length <= maxMeshVms) {
        return undefined;
    }
    return rendezvous(`placing ${service}`, members.filter(member => member.state === "ready").map(member => member.vm));
}
