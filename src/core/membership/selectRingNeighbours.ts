import { fnv1a } from "../util/fnv1a.js";
import { mixHash } from "../util/mixHash.js";

/** Zones with up to this many VMs are fully meshed. */
const maxFullMeshVms = 5;

/**
 * Selects the VMs of its zone that a VM exchanges heartbeats with. In a small zone these are all others. In a larger one the VMs form a
 * ring ordered by hash, and each VM has two neighbours in either direction: the adjacent VM, and the one at a distance of the square
 * root of the ring size, so that updates cross the zone in few hops. The relation is symmetric.
 */
export function selectRingNeighbours(vm: string, zoneVms: readonly string[]): string[] {
    const others = zoneVms.filter(other => other !== vm);
    if (others.length < maxFullMeshVms) {
        return others;
    }
    const ring = [vm, ...others].sort((left, right) => getRingPosition(left) - getRingPosition(right) || (left < right ? -1 : 1));
    const position = ring.indexOf(vm);
    const chordLength = Math.max(2, Math.round(Math.sqrt(ring.length)));
    const neighbours = [-chordLength, -1, 1, chordLength].map(distance =>
        ring[(position + distance + ring.length) % ring.length] as string
    );
    return [...new Set(neighbours)].filter(other => other !== vm);
}

function getRingPosition(vm: string): number {
    return mixHash(fnv1a(vm));
}
