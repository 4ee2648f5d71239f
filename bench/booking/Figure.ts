/** One measured value. `bounds.json` may hold a bound for its name. */
export interface Figure {
    readonly name: string;
    /** Condition of the measurement, such as `100 bookings/s`. */
    readonly variant: string;
    readonly value: number;
    readonly unit: string;
}
