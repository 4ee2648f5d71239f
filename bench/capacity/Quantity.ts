/** Named operand of the formulas: a size of the fleet or a measured cost per unit. */
export interface Quantity {
    readonly name: string;
    readonly value: number;
    readonly unit: string;
    /** Origin of the value, or the conditions of its measurement. */
    readonly source: string;
}
