/** Limits of one customer over the whole fleet; Infinity where none is set. */
export interface QuotaLimits {
    /** Requests per minute. */
    readonly requests: number;
    /** Tokens per minute. */
    readonly tokens: number;
    /** Requests in flight. */
    readonly concurrent: number;
}
