/** A keyed call: the key is scoped to the customer, and the digest covers method, target and body. */
export interface BookingCall {
    readonly customer: string;
    readonly key: string;
    readonly digest: string;
    /** The upstream deduplicates by key, so the call may go out without a claim while the log is down. */
    readonly hasUpstreamDeduplication: boolean;
}
