/** The properties of an upstream that its shard's dispatcher uses. */
export interface DispatchUpstream {
    readonly id: string;
    readonly availabilityZone: string;
    /** Maximum number of in-flight requests. */
    readonly maxInFlight: number;
    /** The upstream is draining: it finishes its in-flight requests and receives no new ones. */
    readonly leaving: boolean;
}
