/** Why no grant was issued. The request has not run. */
export interface DispatchRefusal {
    readonly kind: "shed" | "queue-timeout" | "target-unreachable" | "no-upstream" | "cancelled";
    /** Estimated from the queue; undefined when no estimate exists. */
    readonly retryAfterMs: number | undefined;
    readonly message: string;
}
