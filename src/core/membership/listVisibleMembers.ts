import { findUnreachableZones } from "./findUnreachableZones.js";
import type { Member } from "./Member.js";
import type { MemberStore } from "./MemberStore.js";
import type { ZoneConfigOffsets } from "./ZoneConfigOffsets.js";

/** Members that are neither gone nor in a zone unreachable from `ownZone`, ordered by id. */
export function listVisibleMembers(store: MemberStore, zoneOffsets: ZoneConfigOffsets, ownZone: string): Member[] {
    const unreachableZones = findUnreachableZones(store, ownZone);
    const members: Member[] = [];
    for (const { isGone, record, configOffset } of store.listEntries()) {
        if (isGone || unreachableZones.has(record.availabilityZone)) {
            continue;
        }
        const { vm, incarnation, availabilityZone, region, peerUrl, processorShare, state } = record;
        const offset = availabilityZone === ownZone ? configOffset : zoneOffsets.get(availabilityZone);
        members.push({ vm, incarnation, availabilityZone, region, peerUrl, processorShare, state, configOffset: offset });
    }
    return members.sort((left, right) => left.vm < right.vm ? -1 : 1);
}
