import type { EngineDisturbance } from "./EngineDisturbance.js";

/** Options of `simulateFleet`. */
export interface FleetModelOptions {
    readonly seed: number;
    readonly durationMs: number;
    readonly vmCount: number;
    readonly engineCount: number;
    readonly slotsPerEngine: number;
    /** Calls per second, those with a deadly part included. */
    readonly callRate: number;
    /** Time for which a response takes a slot after its first event. */
    readonly streamMs: number;
    /** Each part crashes engines during its time; calls with it come before and after that, too. */
    readonly deadlyParts: readonly { readonly id: string; readonly share: number; readonly fromMs: number; readonly untilMs: number; }[];
    /** Attempts of a VM for one call; 1 for a route whose calls may not be repeated. */
    readonly maxAttempts: number;
    /** Share of the messages between VMs that get lost. */
    readonly lossShare: number;
    /** Hops of a message between VMs: 2 where one VM relays for the others. */
    readonly hops: number;
    readonly stableWindowMs: number;
    readonly disturbances: readonly EngineDisturbance[];
    /** Restarts of VM 0, after which it knows only the snapshot of another VM. */
    readonly vmRestartsMs: readonly number[];
    /** Whether VMs follow `PromptPartQuarantine`; otherwise they admit every call. */
    readonly isQuarantineUsed: boolean;
}
