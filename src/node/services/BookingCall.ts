/** A call with an idempotency key. The key is scoped to the customer; the digest covers method, target and body. */
export interface BookingCall {
    readonly customer: string;
    readonly key: string;
    readonly digest: string;
    /** The upstream deduplicates by key, so the call may be sent without a claim while the log is unavailable. */
    readonly hasUpstreamDeduplication: boolean;
}
