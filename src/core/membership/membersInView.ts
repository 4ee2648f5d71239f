import { hiddenZones } from "./hiddenZones.js";
import type { Member } from "./Member.js";
import type { MemberStore } from "./MemberStore.js";
import type { ZoneOffsets } from "./ZoneOffsets.js";

/** Members as a VM of `ownZone` sees them, in order of their ids. */
export function membersInView(store: MemberStore, zoneOffsets: ZoneOffsets, ownZone: string): Member[] {
    const hidden = hiddenZones(store, ownZone);
    const members: Member[] = [];
    for (const { isGone, record, configOffset } of store.all()) {
        if (isGone || hidden.has(record.availabilityZone)) {
            continue;
        }
        const { vm, incarnation, availabilityZone, region, peerUrl, state } = record;
        const offset = availabilityZone === ownZone ? configOffset : zoneOffsets.get(availabilityZone);
        members.push({ vm, incarnation, availabilityZone, region, peerUrl, state, configOffset: offset });
    }
    return members.sort((left, right) => left.vm < right.vm ? -1 : 1);
}
