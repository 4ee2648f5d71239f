/** A named number that formulas use: a size of the fleet, or a slope that was measured. */
export interface Quantity {
    readonly name: string;
    readonly value: number;
    readonly unit: string;
    /** Where it comes from. */
    readonly source: string;
}
