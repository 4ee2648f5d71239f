/** Timing of a lease. All durations are in milliseconds. */
export interface LeaseSettings {
    /** Lease duration from the last acquire or renew record. */
    readonly validMs: number;
    /** The holder stops this long before the lease expires by its own clocks. */
    readonly safetyMarginMs: number;
    /** Interval at which a VM checks whether to acquire, renew or release the lease. */
    readonly checkIntervalMs: number;
    /** Longest time after sending within which an order can still reach an engine. */
    readonly maxOrderDelayMs: number;
}
