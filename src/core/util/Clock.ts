/** Time source for code without I/O. */
export interface Clock {
    /** Monotonic time in milliseconds, with an arbitrary origin. */
    nowMs(): number;
}
