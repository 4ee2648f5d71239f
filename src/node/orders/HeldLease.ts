/** A lease held by this VM. */
export interface HeldLease {
    readonly fencingNumber: number;
    /** Monotonic time from which this VM must no longer act on the lease. */
    readonly deadlineMs: number;
    /** The same deadline by the wall clock, which keeps running while a suspended machine's monotonic clock stops. */
    readonly wallDeadlineMs: number;
    /** Monotonic time before which engines that ignore fencing get no order, as orders of the former holder may still arrive. */
    readonly unfencedOrdersFromMs: number;
}
