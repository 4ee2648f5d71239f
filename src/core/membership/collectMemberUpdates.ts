import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import { createTombstone } from "./createTombstone.js";
import type { MemberStore } from "./MemberStore.js";
import type { ZoneConfigOffsets } from "./ZoneConfigOffsets.js";

type MemberUpdates = Pick<Extract<PeerMessage, { type: "heartbeat"; }>, "records" | "gone" | "offsets" | "zoneOffsets">;

interface MemberUpdateInputs {
    readonly store: MemberStore;
    readonly zoneOffsets: ZoneConfigOffsets;
    readonly ownZone: string;
    /** Change number up to which the recipient has been sent records and tombstones. */
    readonly sentRecordChangeNumber: number;
    /** Change number up to which the recipient has been sent configuration offsets. */
    readonly sentOffsetChangeNumber: number;
    readonly nowMs: number;
}

/**
 * Collects the changes that `recipient` has not been sent yet; empty lists are left out. Configuration offsets of single VMs are sent only
 * within their zone.
 */
export function collectMemberUpdates(recipient: string, inputs: MemberUpdateInputs): MemberUpdates {
    const {
        store,
        zoneOffsets,
        ownZone,
        sentRecordChangeNumber: lastSentRecordChange,
        sentOffsetChangeNumber: lastSentOffsetChange,
        nowMs,
    } = inputs;
    if (Math.min(lastSentRecordChange, lastSentOffsetChange) >= store.changes) {
        return {};
    }
    const isSameZone = store.get(recipient)?.record.availabilityZone === ownZone;
    const candidates = [...store.listEntries()].filter(entry => entry.learnedFrom !== recipient && entry.record.vm !== recipient);
    const changedEntries = candidates.filter(entry => entry.recordChangeNumber > lastSentRecordChange);
    const records = changedEntries.filter(entry => !entry.isGone).map(entry => entry.record);
    const tombstones = changedEntries.filter(entry => entry.isGone).map(entry => createTombstone(entry, nowMs));
    const offsets = !isSameZone ? [] : candidates
        .filter(entry => entry.offsetChangeNumber > lastSentOffsetChange && entry.record.availabilityZone === ownZone)
        .map((entry): [string, number] => [entry.record.vm, entry.configOffset]);
    const changedZoneOffsets = zoneOffsets.listChangedSince(lastSentOffsetChange);
    return {
        ...(records.length > 0 ? { records } : {}),
        ...(tombstones.length > 0 ? { gone: tombstones } : {}),
        ...(offsets.length > 0 ? { offsets } : {}),
        ...(changedZoneOffsets.length > 0 ? { zoneOffsets: changedZoneOffsets } : {}),
    };
}
