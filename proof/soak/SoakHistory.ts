import type { SoakCall } from "./SoakCall.js";
import type { SoakFault } from "./SoakFault.js";
import type { SoakRun } from "./SoakRun.js";

/** Everything that one soak saw from outside the VMs. */
export interface SoakHistory {
    readonly calls: readonly SoakCall[];
    readonly runs: readonly SoakRun[];
    readonly faults: readonly SoakFault[];
    /** VMs whose process ended without a signal of the soak. */
    readonly ownExits: readonly string[];
    /** Names of the VMs, by the index that faults use. */
    readonly vms: readonly string[];
    /** When the last fault was over. */
    readonly calmMs: number;
}
