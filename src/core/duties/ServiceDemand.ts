/** Load of a service's callers on its upstreams. */
export interface ServiceDemand {
    readonly callsInFlight: number;
    readonly pendingPrefillMs: number;
    /** Whether the calls of all VMs are included. */
    readonly isComplete: boolean;
}
