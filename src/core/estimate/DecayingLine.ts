/** Straight line y = intercept + slope * x fitted by least squares, where older points count less with each new one. */
export class DecayingLine {
    private weight = 0;
    private sumX = 0;
    private sumY = 0;
    private sumXx = 0;
    private sumXy = 0;
    private cachedIntercept = 0;
    private cachedSlope = 0;

    /** Starts from two points of the given weight on the line (0, intercept), (spreadX, intercept + slope * spreadX). */
    constructor(intercept: number, slope: number, spreadX: number, priorWeight: number, private readonly keepPerPoint: number) {
        this.add(0, intercept, priorWeight);
        this.add(spreadX, intercept + slope * spreadX, priorWeight);
        this.solve();
    }

    get intercept(): number {
        return this.cachedIntercept;
    }

    get slope(): number {
        return this.cachedSlope;
    }

    observe(x: number, y: number): void {
        this.weight *= this.keepPerPoint;
        this.sumX *= this.keepPerPoint;
        this.sumY *= this.keepPerPoint;
        this.sumXx *= this.keepPerPoint;
        this.sumXy *= this.keepPerPoint;
        this.add(x, y, 1);
        this.solve();
    }

    predict(x: number): number {
        return this.cachedIntercept + this.cachedSlope * x;
    }

    private add(x: number, y: number, weight: number): void {
        this.weight += weight;
        this.sumX += weight * x;
        this.sumY += weight * y;
        this.sumXx += weight * x * x;
        this.sumXy += weight * x * y;
    }

    /** Time does not shrink with load, so neither part of the line may be negative. */
    private solve(): void {
        const meanX = this.sumX / this.weight;
        const meanY = this.sumY / this.weight;
        const varianceX = this.sumXx / this.weight - meanX * meanX;
        const covariance = this.sumXy / this.weight - meanX * meanY;
        const slope = varianceX > 1e-9 ? Math.max(0, covariance / varianceX) : this.cachedSlope;
        const intercept = meanY - slope * meanX;
        if (intercept >= 0) {
            this.cachedIntercept = intercept;
            this.cachedSlope = slope;
        }
        else {
            this.cachedIntercept = 0;
            this.cachedSlope = this.sumXx > 0 ? this.sumXy / this.sumXx : 0;
        }
    }
}
