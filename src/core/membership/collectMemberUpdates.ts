import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import { createTombstone } from "./createTombstone.js";
import type { MemberStore } from "./MemberStore.js";
import type { ZoneConfigOffsets } from "./ZoneConfigOffsets.js";

type News = Pick<Extract<PeerMessage, { type: "heartbeat"; }>, "records" | "gone" | "offsets" | "zoneOffsets">;

interface NewsInputs {
    readonly store: MemberStore;
    readonly zoneOffsets: ZoneConfigOffsets;
    readonly ownZone: string;
    /** Change counters up to which the reader has been told. */
    readonly sentRecordChangeNumber: number;
    readonly sentOffsetChangeNumber: number;
    readonly nowMs: number;
}

/** What `reader` has not been told yet, without empty lists. Offsets of single VMs stay inside their zone. */
export function collectMemberUpdates(reader: string, inputs: NewsInputs): News {
    const { store, zoneOffsets, ownZone, sentRecordChangeNumber: toldRecordChanges, sentOffsetChangeNumber: toldOffsetChanges, nowMs } =
        inputs;
    if (Math.min(toldRecordChanges, toldOffsetChanges) >= store.changes) {
        return {};
    }
    const isSameZone = store.get(reader)?.record.availabilityZone === ownZone;
    const others = [...store.all()].filter(entry => entry.learnedFrom !== reader && entry.record.vm !== reader);
    const changed = others.filter(entry => entry.recordChangeNumber > toldRecordChanges);
    const records = changed.filter(entry => !entry.isGone).map(entry => entry.record);
    const gone = changed.filter(entry => entry.isGone).map(entry => createTombstone(entry, nowMs));
    const offsets = !isSameZone ? [] : others
        .filter(entry => entry.offsetChangeNumber > toldOffsetChanges && entry.record.availabilityZone === ownZone)
        .map((entry): [string, number] => [entry.record.vm, entry.configOffset]);
    const zones = zoneOffsets.since(toldOffsetChanges);
    return {
        ...(records.length > 0 ? { records } : {}),
        ...(gone.length > 0 ? { gone } : {}),
        ...(offsets.length > 0 ? { offsets } : {}),
        ...(zones.length > 0 ? { zoneOffsets: zones } : {}),
    };
}
