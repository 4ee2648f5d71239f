import type { PartRecord } from "../PartRecord.js";

/** What a VM of the model tells another one. Times are ages, as VMs have clocks of their own. */
export type FleetMessage =
    | {
        readonly kind: "crash";
        readonly engineKey: string;
        readonly crashedAgoMs: number;
        readonly calls: readonly { readonly partIds: readonly string[]; readonly sentAgoMs: number; }[];
    }
    | { readonly kind: "answer"; readonly partIds: readonly string[]; readonly begunAgoMs: number; }
    | { readonly kind: "probe"; readonly partId: string; }
    | { readonly kind: "snapshot"; readonly nextProbeInMs: number; readonly records: readonly (readonly [string, PartRecord])[]; };
