/** A customer whose calls are relayed. */
export interface RelayCustomer {
    readonly name: string;
    readonly keys: readonly string[];
    /** Overrides the tier of the route if set. */
    readonly tier: number | undefined;
}
