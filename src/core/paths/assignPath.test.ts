import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { assignPath } from "./assignPath.js";

const percent = fc.integer({ min: 0, max: 100 });

test("raising the percentage never moves a key from the new path to the old one", () => {
    fc.assert(
        fc.property(fc.string(), fc.string(), percent, percent, (customer, key, one, other) => {
            const lower = assignPath(customer, key, Math.min(one, other));
            const higher = assignPath(customer, key, Math.max(one, other));
            expect(lower === "new" && higher === "old").toEqual(false);
        }),
        { seed: 31 },
    );
});

test("0 percent assigns every key to the old path, 100 percent to the new path", () => {
    fc.assert(
        fc.property(fc.string(), fc.string(), (customer, key) => {
            expect([assignPath(customer, key, 0), assignPath(customer, key, 100)]).toEqual(["old", "new"]);
        }),
        { seed: 32 },
    );
});

test("the share of keys on the new path is within 1.5 points of the configured percentage, also for consecutive keys", () => {
    for (const share of [1, 10, 50, 90]) {
        const onNew = Array.from(Array(20_000).keys(), index =>
            assignPath("litoral", `order-${index}`, share)).filter(path => path === "new").length;
        expect(Math.abs(onNew / 200 - share)).toSatisfy(difference => difference < 1.5);
    }
});
