import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { compareEventIds } from "./compareEventIds.js";

test("decimal ids of any length are ordered by value, with or without leading zeros", () => {
    const id = fc.record({ value: fc.bigInt({ min: 0n, max: 2n ** 80n }), zeros: fc.nat({ max: 3 }) });
    fc.assert(
        fc.property(id, fc.bigInt({ min: -2n, max: 2n }), ({ value, zeros }, difference) => {
            const other = value + difference < 0n ? 0n : value + difference;
            const order = compareEventIds("0".repeat(zeros) + String(value), String(other));
            expect(Math.sign(order)).toEqual(value < other ? -1 : value > other ? 1 : 0);
        }),
        { seed: 11, numRuns: 500 },
    );
});

test("an id of 400 digits, too large for a number, is later than one that is smaller by one", () => {
    const digits = "9".repeat(399);
    expect(compareEventIds(`${digits}9`, `${digits}8`) > 0).toEqual(true);
});

test("an id that is not a decimal integer is equal to itself only, and otherwise later", () => {
    expect([compareEventIds("a", "a"), compareEventIds("a", "b") > 0, compareEventIds("b", "a") > 0]).toEqual([0, true, true]);
    expect([compareEventIds("1e3", "2000") > 0, compareEventIds("", "0") > 0, compareEventIds("7", "x") > 0]).toEqual([true, true, true]);
});
