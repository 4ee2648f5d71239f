/** A customer whose calls are relayed. */
export interface RelayCustomer {
    readonly name: string;
    readonly keys: readonly string[];
    /** Goes before the tier of the route; undefined leaves the route's. */
    readonly tier: number | undefined;
}
