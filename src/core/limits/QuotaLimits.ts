/** Limits of one customer; Infinity where none is set. */
export interface QuotaLimits {
    /** A minute. */
    readonly requests: number;
    /** A minute. */
    readonly tokens: number;
    readonly concurrent: number;
}
