/** One measured figure. Its name may stand in the bounds file. */
export interface Figure {
    readonly name: string;
    /** What was varied, such as `100 bookings/s`. */
    readonly variant: string;
    readonly value: number;
    readonly unit: string;
}
