/**
 * Weighted least squares over a few features. The weight of older observations decays with each new one, and a prior stabilizes the
 * coefficients of features that are rarely observed. Negative coefficients are set to zero, as times do not fall with load.
 */
export class DecayingRegression {
    readonly coefficients: number[];
    private readonly featureCount: number;
    /** Decayed sums of the products of each two features, in row-major order. */
    private readonly normalMatrix: Float64Array;
    /** Decayed sums of the products of each feature with the observed value. */
    private readonly normalVector: Float64Array;
    private readonly augmentedMatrix: Float64Array;

    /**
     * `priorScales` gives the typical magnitude of each feature; the prior weighs as much as `priorCount` observations of that magnitude.
     * `decayFactor`, in (0, 1], multiplies the weight of earlier observations with each new one.
     */
    constructor(
        private readonly priorCoefficients: readonly number[],
        private readonly priorScales: readonly number[],
        private readonly priorCount: number,
        private readonly decayFactor: number,
    ) {
        this.featureCount = priorCoefficients.length;
        this.coefficients = [...priorCoefficients];
        this.normalMatrix = new Float64Array(this.featureCount * this.featureCount);
        this.normalVector = new Float64Array(this.featureCount);
        this.augmentedMatrix = new Float64Array(this.featureCount * (this.featureCount + 1));
    }

    /** Adds an observation and updates the coefficients. */
    observe(features: readonly number[], value: number): void {
        for (let row = 0; row < this.featureCount; row++) {
            const feature = features[row] as number;
            this.normalVector[row] = (this.normalVector[row] as number) * this.decayFactor + feature * value;
            for (let column = 0; column < this.featureCount; column++) {
                const cell = row * this.featureCount + column;
                this.normalMatrix[cell] = (this.normalMatrix[cell] as number) * this.decayFactor + feature * (features[column] as number);
            }
        }
        this.solve();
    }

    /** Value predicted for these features. */
    predict(features: readonly number[]): number {
        let value = 0;
        for (let index = 0; index < this.featureCount; index++) {
            value += (this.coefficients[index] as number) * (features[index] as number);
        }
        return value;
    }

    private solve(): void {
        this.fillAugmentedMatrix();
        this.eliminate();
        for (let row = this.featureCount - 1; row >= 0; row--) {
            this.coefficients[row] = Math.max(0, this.backSubstitute(row));
        }
    }

    /** Fills in the normal equations, with the weight of the prior added on the diagonal. */
    private fillAugmentedMatrix(): void {
        const width = this.featureCount + 1;
        for (let row = 0; row < this.featureCount; row++) {
            for (let column = 0; column < this.featureCount; column++) {
                this.augmentedMatrix[row * width + column] = this.normalMatrix[row * this.featureCount + column] as number;
            }
            const priorWeight = this.priorCount * (this.priorScales[row] as number) ** 2;
            this.augmentedMatrix[row * width + row] = (this.augmentedMatrix[row * width + row] as number) + priorWeight;
            this.augmentedMatrix[row * width + this.featureCount] = (this.normalVector[row] as number) +
                priorWeight * (this.priorCoefficients[row] as number);
        }
    }

    private eliminate(): void {
        const width = this.featureCount + 1;
        for (let pivot = 0; pivot < this.featureCount; pivot++) {
            for (let row = pivot + 1; row < this.featureCount; row++) {
                const factor = (this.augmentedMatrix[row * width + pivot] as number) /
                    (this.augmentedMatrix[pivot * width + pivot] as number);
                for (let column = pivot; column < width; column++) {
                    const cell = row * width + column;
                    this.augmentedMatrix[cell] = (this.augmentedMatrix[cell] as number) -
                        factor * (this.augmentedMatrix[pivot * width + column] as number);
                }
            }
        }
    }

    private backSubstitute(row: number): number {
        const width = this.featureCount + 1;
        let value = this.augmentedMatrix[row * width + this.featureCount] as number;
        for (let column = row + 1; column < this.featureCount; column++) {
            value -= (this.augmentedMatrix[row * width + column] as number) * (this.coefficients[column] as number);
        }
        return value / (this.augmentedMatrix[row * width + row] as number);
    }
}
