import type { MemberRecord } from "../../schema/peer/MemberRecord.js";

/** What is known of one VM. Times are on the local monotonic clock. */
export interface MemberEntry {
    record: MemberRecord;
    isGone: boolean;
    goneAtMs: number;
    /** It said itself that it stops. */
    hasLeft: boolean;
    /** When anything last came from it. */
    heardAtMs: number;
    /** When it last said that it hears this VM too. */
    bidirectionalContactAtMs: number;
    /** When another VM last heard it both ways. */
    indirectContactAtMs: number;
    /** Since when this VM watches it; -Infinity when it does not. */
    watchedSinceMs: number;
    lastProbeAtMs: number;
    configOffset: number;
    /** Values of the change counter when the record and the offset last changed. */
    recordChangeNumber: number;
    offsetChangeNumber: number;
    /** The neighbour that told the last change, which need not be told again. */
    learnedFrom: string;
}
