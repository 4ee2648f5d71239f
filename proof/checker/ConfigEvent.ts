/** Actual state of one VM, read directly rather than over the network. */
interface VmState {
    readonly vm: string;
    readonly incarnation: string;
    readonly availabilityZone: string;
    readonly isReady: boolean;
    readonly offset: number;
}

/** Result of a change as returned to the operator. */
type ChangeTold =
    | { readonly status: "accepted" | "pending"; readonly offset: number; readonly pendingZones: readonly string[]; }
    | { readonly status: "conflict" | "invalid" | "not-published" | "unknown"; };

/** An event in the configuration history of a fleet. Times are milliseconds of the simulated clock. */
export type ConfigEvent =
    | { readonly type: "landed"; readonly atMs: number; readonly offset: number; readonly payload: Uint8Array; }
    | {
        readonly type: "asked";
        readonly atMs: number;
        readonly author: string;
        readonly vm: string;
        readonly incarnation: string;
    }
    | {
        readonly type: "told";
        readonly atMs: number;
        readonly author: string;
        readonly told: ChangeTold;
        /** All VMs that are up when the result is returned. */
        readonly fleet: readonly VmState[];
    }
    /** A VM's view, recorded whenever it changes and after each step. */
    | {
        readonly type: "view";
        readonly atMs: number;
        readonly vm: string;
        readonly incarnation: string;
        readonly isReady: boolean;
        readonly offset: number;
        /** JSON of the objects in the view, sorted by kind and name. */
        readonly content: string;
    }
    /** State of every VM that is up after all faults were cleared and the fleet had time to settle. */
    | { readonly type: "settled"; readonly atMs: number; readonly fleet: readonly VmState[]; };
