import { selectByRendezvousHash } from "../util/selectByRendezvousHash.js";

/** Links maintained between each pair of zones. */
const linksPerZonePair = 2;

/**
 * Selects the VMs of `zone` that maintain the links to `otherZone`. The representative at an index is linked to the representative of
 * `otherZone` at the same index.
 */
export function selectZoneRepresentatives(zone: string, otherZone: string, zoneVms: readonly string[]): string[] {
    const representatives: string[] = [];
    for (let index = 0; index < linksPerZonePair; index++) {
        const candidates = zoneVms.filter(vm => !representatives.includes(vm));
        const representative = selectByRendezvousHash(`${zone} ${otherZone} ${index}`, candidates);
        if (representative !== undefined) {
            representatives.push(representative);
        }
    }
    return representatives;
}
