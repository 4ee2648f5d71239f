import type { KeyedRecord } from "../services/KeyedRecord.js";

/** The newest record of each key of a keyed log before `nextOffset`. */
export interface LogSnapshot {
    readonly nextOffset: number;
    readonly records: readonly KeyedRecord[];
}
