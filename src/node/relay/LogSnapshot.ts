import type { KeyedRecord } from "../services/KeyedRecord.js";

/** The newest record of each key of a keyed log before `nextOffset`. */
export interface LogSnapshot {
    readonly epoch: number;
    /** False if the VM that took it had not heard of the log for too long: `nextOffset` says nothing then, and later records may be missing. */
    readonly isRecent: boolean;
    readonly nextOffset: number;
    readonly records: readonly KeyedRecord[];
}
