import type { MemberStore } from "./MemberStore.js";
import { selectZoneRepresentatives } from "./selectZoneRepresentatives.js";

/** Zones that every representative of `ownZone` says it does not hear. */
export function findUnreachableZones(store: MemberStore, ownZone: string): Set<string> {
    const zones = store.groupVmsByZone();
    const hidden = new Set<string>();
    for (const zone of zones.keys()) {
        const representatives = selectZoneRepresentatives(ownZone, zone, zones.get(ownZone) ?? []);
        const isLost = representatives.every(vm => store.get(vm)?.record.unreachableZones.includes(zone));
        if (zone !== ownZone && isLost) {
            hidden.add(zone);
        }
    }
    return hidden;
}
