import type { PartRecord } from "./PartRecord.js";

/** The quarantined parts that a VM knows of, and when the next probe is due. */
export interface QuarantineSnapshot {
    readonly nextProbeMs: number;
    readonly records: ReadonlyMap<string, PartRecord>;
}
