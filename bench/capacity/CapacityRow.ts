/** One row of the capacity table. */
export interface CapacityRow {
    readonly role: string;
    readonly what: string;
    /** Quantity names and numbers joined by `*`, `/` and `+`; `*` and `/` bind tighter than `+`. */
    readonly formula: string;
    readonly unit: string;
    /** Mechanism that determines the value or keeps it within limits. */
    readonly mechanism: string;
}
