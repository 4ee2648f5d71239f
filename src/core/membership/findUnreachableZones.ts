import type { MemberStore } from "./MemberStore.js";
import { selectZoneRepresentatives } from "./selectZoneRepresentatives.js";

/** Zones that are reported as unreachable by every representative of `ownZone` towards that zone. */
export function findUnreachableZones(store: MemberStore, ownZone: string): Set<string> {
    const zones = store.groupVmsByZone();
    const unreachableZones = new Set<string>();
    for (const zone of zones.keys()) {
        const representatives = selectZoneRepresentatives(ownZone, zone, zones.get(ownZone) ?? []);
        const isUnreachable = representatives.every(vm => store.get(vm)?.record.unreachableZones.includes(zone));
        if (zone !== ownZone && isUnreachable) {
            unreachableZones.add(zone);
        }
    }
    return unreachableZones;
}
