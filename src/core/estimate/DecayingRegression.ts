/**
 * Least squares over a few features, where older points count less with each new one and a prior keeps what is seldom seen in place.
 * Coefficients below zero are taken as zero: time does not shrink with load.
 */
export class DecayingRegression {
    readonly coefficients: number[];
    private readonly size: number;
    /** Sums of products of features, row by row, and of features with the observed value. */
    private readonly products: Float64Array;
    private readonly moments: Float64Array;
    private readonly rows: Float64Array;

    /** `priorScales` give the usual size of each feature; the prior weighs as much as `priorCount` observations of that size. */
    constructor(
        private readonly prior: readonly number[],
        private readonly priorScales: readonly number[],
        private readonly priorCount: number,
        private readonly keepPerObservation: number,
    ) {
        this.size = prior.length;
        this.coefficients = [...prior];
        this.products = new Float64Array(this.size * this.size);
        this.moments = new Float64Array(this.size);
        this.rows = new Float64Array(this.size * (this.size + 1));
    }

    observe(features: readonly number[], value: number): void {
        for (let row = 0; row < this.size; row++) {
            const feature = features[row] as number;
            this.moments[row] = (this.moments[row] as number) * this.keepPerObservation + feature * value;
            for (let column = 0; column < this.size; column++) {
                const cell = row * this.size + column;
                this.products[cell] = (this.products[cell] as number) * this.keepPerObservation + feature * (features[column] as number);
            }
        }
        this.solve();
    }

    predict(features: readonly number[]): number {
        let value = 0;
        for (let index = 0; index < this.size; index++) {
            value += (this.coefficients[index] as number) * (features[index] as number);
        }
        return value;
    }

    private solve(): void {
        this.fillRows();
        this.eliminate();
        for (let row = this.size - 1; row >= 0; row--) {
            this.coefficients[row] = Math.max(0, this.backSubstitute(row));
        }
    }

    /** Normal equations with the prior added on the diagonal. */
    private fillRows(): void {
        const width = this.size + 1;
        for (let row = 0; row < this.size; row++) {
            for (let column = 0; column < this.size; column++) {
                this.rows[row * width + column] = this.products[row * this.size + column] as number;
            }
            const weight = this.priorCount * (this.priorScales[row] as number) ** 2;
            this.rows[row * width + row] = (this.rows[row * width + row] as number) + weight;
            this.rows[row * width + this.size] = (this.moments[row] as number) + weight * (this.prior[row] as number);
        }
    }

    private eliminate(): void {
        const width = this.size + 1;
        for (let pivot = 0; pivot < this.size; pivot++) {
            for (let row = pivot + 1; row < this.size; row++) {
                const factor = (this.rows[row * width + pivot] as number) / (this.rows[pivot * width + pivot] as number);
                for (let column = pivot; column < width; column++) {
                    const cell = row * width + column;
                    this.rows[cell] = (this.rows[cell] as number) - factor * (this.rows[pivot * width + column] as number);
                }
            }
        }
    }

    private backSubstitute(row: number): number {
        const width = this.size + 1;
        let value = this.rows[row * width + this.size] as number;
        for (let column = row + 1; column < this.size; column++) {
            value -= (this.rows[row * width + column] as number) * (this.coefficients[column] as number);
        }
        return value / (this.rows[row * width + row] as number);
    }
}
