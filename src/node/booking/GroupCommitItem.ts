import type { BookingRecord } from "../../core/booking/BookingRecord.js";

/** A record that waits to be appended. It is dropped once `isWanted` is false. */
export interface GroupCommitItem {
    readonly record: BookingRecord;
    readonly isWanted: () => boolean;
    /** Called before each append that holds the record. */
    readonly onAppending?: () => void;
    /** Called when such an append surely did not land. */
    readonly onNotAppended?: () => void;
    /** Called when the log has confirmed an append that holds the record. */
    readonly onAppended?: () => void;
}
