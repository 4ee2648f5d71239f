import type { SoakArrival } from "./SoakArrival.js";
import type { SoakCall } from "./SoakCall.js";
import type { SoakFault } from "./SoakFault.js";
import type { SoakRun } from "./SoakRun.js";

/** What callers and upstreams observed during one soak. Times are in milliseconds since it began. */
export interface SoakHistory {
    readonly calls: readonly SoakCall[];
    readonly runs: readonly SoakRun[];
    readonly arrivals: readonly SoakArrival[];
    readonly faults: readonly SoakFault[];
    /** VMs whose process exited although the soak had not signalled it. */
    readonly unexpectedExits: readonly string[];
    /** Names of the VMs; the target of a fault is an index into them. */
    readonly vms: readonly string[];
    /** When the last fault ended. */
    readonly faultsEndedMs: number;
}
