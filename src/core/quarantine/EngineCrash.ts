import type { WaitingCall } from "./WaitingCall.js";

/** The end of an engine's process, with calls that waited there for their first event. */
export interface EngineCrash {
    /** Identifies the engine and its process, so that reports of several VMs about one crash are taken for one. */
    readonly engineKey: string;
    readonly crashedMs: number;
    readonly calls: readonly WaitingCall[];
}
