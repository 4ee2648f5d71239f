import type { KeyedRecord } from "../services/KeyedRecord.js";

/** A range of a keyed log that one VM has read, with those of its records that other VMs may lack. */
export interface ForwardedRead {
    readonly fromOffset: number;
    readonly nextOffset: number;
    readonly records: readonly KeyedRecord[];
}
