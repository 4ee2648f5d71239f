import type { BookingRecord } from "../../core/booking/BookingRecord.js";

/** A record that waits to be appended. It is dropped once `isWanted` is false. */
export interface GroupCommitItem {
    readonly record: BookingRecord;
    readonly isWanted: () => boolean;
    /** Called when the log has confirmed an append that holds the record. */
    readonly onAppended?: () => void;
}
