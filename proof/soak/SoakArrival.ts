/** One call that reached an upstream, whether that ran it or turned it away. */
export interface SoakArrival {
    readonly id: string;
    readonly upstream: string;
    /** Changes with each start of the upstream. */
    readonly born: number;
    readonly atMs: number;
    /** For how long the upstream wants no further calls of the VM, as it said when it turned this one away. */
    readonly pauseMs: number | undefined;
    /** Whether its response said that the upstream is leaving. */
    readonly isLeaving: boolean;
}
