import { fnv1a } from "../util/fnv1a.js";
import { mixHash } from "../util/mixHash.js";

const maxFullMesh = 5;

/**
 * The VMs of its zone that a VM exchanges heartbeats with. In a small zone these are all others. In a larger one the VMs stand on a ring
 * in order of a hash, and each watches four: the next on either side, and one on either side a square root of the ring away, so that
 * news crosses the zone in few steps. The relation is symmetric.
 */
export function selectRingNeighbours(vm: string, zoneVms: readonly string[]): string[] {
    const others = zoneVms.filter(other => other !== vm);
    if (others.length < maxFullMesh) {
        return others;
    }
    const ring = [vm, ...others].sort((left, right) => ringPosition(left) - ringPosition(right) || (left < right ? -1 : 1));
    const position = ring.indexOf(vm);
    const chord = Math.max(2, Math.round(Math.sqrt(ring.length)));
    const neighbours = [-chord, -1, 1, chord].map(step => ring[(position + step + ring.length) % ring.length] as string);
    return [...new Set(neighbours)].filter(other => other !== vm);
}

function ringPosition(vm: string): number {
    return mixHash(fnv1a(vm));
}
