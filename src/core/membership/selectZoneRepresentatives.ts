import { selectByRendezvousHash } from "../util/selectByRendezvousHash.js";

/** Links kept between each pair of zones. */
const linksPerZonePair = 2;

/** The VMs of `zone` that keep the links to `otherZone`; the one at an index is linked to the one at the same index over there. */
export function selectZoneRepresentatives(zone: string, otherZone: string, zoneVms: readonly string[]): string[] {
    const chosen: string[] = [];
    for (let index = 0; index < linksPerZonePair; index++) {
        const candidates = zoneVms.filter(vm => !chosen.includes(vm));
        const next = selectByRendezvousHash(`${zone} ${otherZone} ${index}`, candidates);
        if (next !== undefined) {
            chosen.push(next);
        }
    }
    return chosen;
}
