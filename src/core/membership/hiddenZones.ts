import type { MemberStore } from "./MemberStore.js";
import { zoneRepresentatives } from "./zoneRepresentatives.js";

/** Zones that every representative of `ownZone` says it does not hear. */
export function hiddenZones(store: MemberStore, ownZone: string): Set<string> {
    const zones = store.vmsByZone();
    const hidden = new Set<string>();
    for (const zone of zones.keys()) {
        const representatives = zoneRepresentatives(ownZone, zone, zones.get(ownZone) ?? []);
        const isLost = representatives.every(vm => store.get(vm)?.record.unreachableZones.includes(zone));
        if (zone !== ownZone && isLost) {
            hidden.add(zone);
        }
    }
    return hidden;
}
