/** A VM that serves. */
export interface RunningVm {
    readonly id: string;
    readonly availabilityZone: string;
    readonly callerUrl: string;
    readonly operatorUrl: string;
    readonly peerUrl: string;
    /** True once configuration is loaded and callers are served. */
    isReady(): boolean;
    /** Stops taking work, hands duties over, waits until every request has ended, then closes everything. */
    drain(): Promise<void>;
}
