/** An upstream as the dispatcher of its shard sees it. */
export interface DispatchUpstream {
    readonly id: string;
    readonly availabilityZone: string;
    /** Most requests in flight on it. */
    readonly maxInFlight: number;
    /** A leaving upstream finishes what it has and receives nothing new. */
    readonly leaving: boolean;
}
