/** How many upstreams of a service may be ordered, and at what price. */
export interface ServiceScaling {
    /** Limits for each availability zone, for both kinds of upstreams together. */
    readonly minUpstreams: number;
    readonly maxUpstreams: number;
    /** Time from an order until a new upstream serves. */
    readonly bootMs: number;
    /** Price of a reclaimable upstream as a share of that of an ordinary one; 1 if there are none to be had. */
    readonly reclaimablePriceShare: number;
    /** Relative price of an upstream by availability zone. */
    readonly zonePrices: Readonly<Record<string, number>>;
}
