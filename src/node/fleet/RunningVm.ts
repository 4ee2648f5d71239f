/** A VM that serves. */
export interface RunningVm {
    readonly id: string;
    readonly availabilityZone: string;
    readonly callerUrl: string;
    readonly operatorUrl: string;
    readonly peerUrl: string;
    /** True once configuration is loaded and callers are served. */
    isReady(): boolean;
    /** VMs that this one sees ready, itself included. */
    listReadyVms(): readonly string[];
    /** Stops taking work, hands duties over, waits until every request has ended, then closes everything. */
    drain(): Promise<void>;
}
