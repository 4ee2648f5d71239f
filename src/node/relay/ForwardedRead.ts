import type { KeyedRecord } from "../services/KeyedRecord.js";

/** A range of a keyed log that one VM has read, with those of its records that other VMs may lack. */
export interface ForwardedRead {
    readonly epoch: number;
    /** Whether the records are those in force of all keys; `fromOffset` is 0 then. */
    readonly isWhole: boolean;
    readonly fromOffset: number;
    readonly nextOffset: number;
    readonly records: readonly KeyedRecord[];
}
