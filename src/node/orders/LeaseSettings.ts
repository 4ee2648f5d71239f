/** Timing of a lease. All durations in milliseconds. */
export interface LeaseSettings {
    readonly validMs: number;
    /** The holder stops this long before its lease ends on its own clock. */
    readonly safetyMarginMs: number;
    readonly stepMs: number;
    /** Longest time after which an order can still reach an engine. */
    readonly maxOrderDelayMs: number;
}
