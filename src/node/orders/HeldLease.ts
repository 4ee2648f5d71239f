/** A lease held by this VM. */
export interface HeldLease {
    readonly fencingNumber: number;
    /** Monotonic time at which this VM must stop to act on it. */
    readonly deadlineMs: number;
    /** The same by the wall clock, which goes on while a suspended machine's monotonic clock stands still. */
    readonly wallDeadlineMs: number;
    /** Engines that ignore fencing numbers get no order before; an order of the former holder may arrive until then. */
    readonly unfencedOrdersFromMs: number;
}
