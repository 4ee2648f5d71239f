/** Times of the lease on the fleet's duties that do not depend on its length. */
export const dutyLeaseTiming = {
    /** The holder stops this long before its lease ends, and others wait this much longer than the lease. */
    marginMs: 500,
    /** Drift between wall clock and monotonic clock since the append that shows a suspension or a stepped clock; below the margin. */
    maxDriftMs: 200,
    /** Least time between two reads by a VM that does not hold the lease: each call of the store is priced. */
    pollIntervalMs: 1_500,
    /** Delay before a VM whose lease still lasts repeats a failed read of the store. */
    retryDelayMs: 300,
    /** How often a VM that does not poll the store checks its rank. */
    rankCheckIntervalMs: 500,
} as const;
