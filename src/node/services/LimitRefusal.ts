/** The limit that a customer has exceeded. The request has not run. */
export interface LimitRefusal {
    readonly kind: "requests-per-minute" | "tokens-per-minute" | "concurrent-requests";
    readonly retryAfterMs: number;
}
