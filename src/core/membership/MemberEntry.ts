import type { MemberRecord } from "../../schema/peer/MemberRecord.js";

/** Local state about one VM. Times are in milliseconds on the local monotonic clock; -Infinity means never. */
export interface MemberEntry {
    record: MemberRecord;
    isGone: boolean;
    goneAtMs: number;
    /** Whether the VM announced its own shutdown. */
    hasLeft: boolean;
    /** When the last heartbeat of the VM arrived. */
    heardAtMs: number;
    /** When the VM last confirmed that it receives the heartbeats of the local VM. */
    bidirectionalContactAtMs: number;
    /** When another VM that vouched for the VM last had bidirectional contact with it. */
    indirectContactAtMs: number;
    /** When the local VM started to watch the VM; -Infinity while it does not. */
    watchedSinceMs: number;
    lastProbeAtMs: number;
    configOffset: number;
    /** Value of the store's change counter when the record last changed. */
    recordChangeNumber: number;
    /** Value of the store's change counter when the configuration offset last changed. */
    offsetChangeNumber: number;
    /** Neighbour that sent the last change, to which it is not sent back; empty if the change is local. */
    learnedFrom: string;
}
