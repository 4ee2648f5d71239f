/** A customer is over one of its limits. The request has not run. */
export interface LimitRefusal {
    readonly kind: "requests-per-minute" | "tokens-per-minute" | "concurrent-requests";
    readonly retryAfterMs: number;
}
