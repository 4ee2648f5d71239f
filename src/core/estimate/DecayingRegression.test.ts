import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { DecayingRegression } from "./DecayingRegression.js";

const decayFactor = 0.95;
const priorCoefficients = [10, 0.8];
const priorScales = [1, 8];
const priorCount = 5;

interface Point {
    readonly x: number;
    readonly y: number;
}

/** Reference result: weighted least squares with the prior over all points, by Cramer's rule. */
function fitAllPoints(points: readonly Point[]): [number, number] {
    const weights = [...points.keys()].map(index => decayFactor ** (points.length - 1 - index));
    const weightedSum = (valueOf: (point: Point) => number) =>
        points.reduce((total, point, index) => total + (weights[index] as number) * valueOf(point), 0);
    const [priorBase, priorSlope] = priorCoefficients as [number, number];
    const [baseWeight, slopeWeight] = priorScales.map(scale => priorCount * scale * scale) as [number, number];
    const a = weightedSum(() => 1) + baseWeight;
    const b = weightedSum(point => point.x);
    const d = weightedSum(point => point.x * point.x) + slopeWeight;
    const p = weightedSum(point => point.y) + baseWeight * priorBase;
    const q = weightedSum(point => point.x * point.y) + slopeWeight * priorSlope;
    const determinant = a * d - b * b;
    return [(p * d - b * q) / determinant, (a * q - b * p) / determinant];
}

test("the incremental fit equals weighted least squares over all points", () => {
    const arbitraryPoint = fc.record({ x: fc.integer({ min: 1, max: 16 }), y: fc.integer({ min: 12, max: 60 }) });
    fc.assert(
        fc.property(fc.array(arbitraryPoint, { minLength: 1, maxLength: 60, size: "max" }), points => {
            const fit = new DecayingRegression(priorCoefficients, priorScales, priorCount, decayFactor);
            for (const { x, y } of points) {
                fit.observe([1, x], y);
            }
            const [base, slope] = fitAllPoints(points);
            const expected = slope >= 0 ? [base, slope] : undefined;
            if (expected === undefined) {
                expect(fit.coefficients[1]).toEqual(0);
                return;
            }
            expect(Math.abs((fit.coefficients[0] as number) - Math.max(0, base)) < 1e-6).toEqual(true);
            expect(Math.abs((fit.coefficients[1] as number) - slope) < 1e-6).toEqual(true);
        }),
        { seed: 20_261_207, numRuns: 200 },
    );
});

test("the fit converges to the line on which all points lie", () => {
    const fit = new DecayingRegression([10, 0.8], [1, 8], 1, 0.99);
    for (let count = 0; count < 500; count++) {
        const batchSize = 1 + count % 16;
        fit.observe([1, batchSize], 20 + 2 * batchSize);
    }
    expect(Math.abs(fit.predict([1, 10]) - 40) < 1).toEqual(true);
});
