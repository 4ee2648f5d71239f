/** One line of the capacity table. */
export interface CapacityRow {
    readonly role: string;
    readonly what: string;
    /** Names of quantities and numbers joined by `*`, `/` and `+`; products go before sums. */
    readonly formula: string;
    readonly unit: string;
    /** What carries it. */
    readonly mechanism: string;
}
