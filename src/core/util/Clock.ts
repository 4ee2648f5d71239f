/** Source of time for pure code. */
export interface Clock {
    /** Monotonic milliseconds. */
    nowMs(): number;
}
