/** What an omniscient observer sees of one VM. */
interface VmState {
    readonly vm: string;
    readonly incarnation: string;
    readonly availabilityZone: string;
    readonly isReady: boolean;
    readonly offset: number;
}

/** What an operator was told about a change. */
type ChangeTold =
    | { readonly status: "accepted" | "pending"; readonly offset: number; readonly pendingZones: readonly string[]; }
    | { readonly status: "conflict" | "invalid" | "not-published" | "unknown"; };

/** One thing that happened to the configuration of a fleet. Times are true milliseconds. */
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
        /** Every VM that is up, at the moment of telling. */
        readonly fleet: readonly VmState[];
    }
    /** A VM's view, taken at each change of it and after each step. */
    | {
        readonly type: "view";
        readonly atMs: number;
        readonly vm: string;
        readonly incarnation: string;
        readonly isReady: boolean;
        readonly offset: number;
        /** The objects of the view, in a fixed order. */
        readonly content: string;
    }
    /** No fault has been in force for long; the state of every VM. */
    | { readonly type: "settled"; readonly atMs: number; readonly fleet: readonly VmState[]; };
