import type { BookingRecord } from "../../core/booking/BookingRecord.js";

/** A record queued for append. It is dropped from the queue if `isWanted` returns false when the next batch is built. */
export interface GroupCommitItem {
    readonly record: BookingRecord;
    readonly isWanted: () => boolean;
    /** Called before each append that contains the record. */
    readonly onAppending?: () => void;
    /** Called when such an append is known to have failed, so the log does not contain it. */
    readonly onNotAppended?: () => void;
    /** Called when the log has confirmed an append that contains the record. */
    readonly onAppended?: () => void;
}
