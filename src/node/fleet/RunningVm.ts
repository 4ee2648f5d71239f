/** A started VM that serves callers. URLs include the ports that were bound. */
export interface RunningVm {
    readonly id: string;
    readonly availabilityZone: string;
    readonly callerUrl: string;
    readonly operatorUrl: string;
    readonly peerUrl: string;
    /** True once the configuration is loaded and callers are served. */
    isReady(): boolean;
    /** VMs that are ready in this VM's view of the membership, itself included. */
    listReadyVms(): readonly string[];
    /** Stops accepting requests, hands over duties, waits until every request has ended, then closes everything. */
    drain(): Promise<void>;
}
