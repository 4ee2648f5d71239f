/** The lease on the fleet's duties while this VM holds it. */
export interface HeldDuty {
    /** Rises with each acquisition, also one by the same VM or after a restore of the store; below 2^53. */
    readonly fencingNumber: number;
    /** Time left in which this VM may act on the lease. */
    readonly remainingMs: number;
    /** Aborts when the lease is lost or has expired. */
    readonly signal: AbortSignal;
}
