import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { SlidingWindow } from "./SlidingWindow.js";

const additions = fc.array(fc.record({ afterMs: fc.nat(30_000), amount: fc.integer({ min: -3, max: 20 }) }), { maxLength: 60 });

test("an amount counts for 60 s, and at most 250 ms longer because of the slot size", () => {
    fc.assert(
        fc.property(fc.nat(1_000_000), additions, (startMs, addedAmounts) => {
            const window = new SlidingWindow(startMs);
            const entries: { readonly atMs: number; readonly amount: number; }[] = [];
            let nowMs = startMs;
            for (const { afterMs, amount } of addedAmounts) {
                nowMs += afterMs;
                window.add(amount, nowMs);
                entries.push({ atMs: nowMs, amount });
                const certain = entries.filter(({ atMs }) => atMs > nowMs - 60_000);
                const possible = entries.filter(({ atMs }) => atMs > nowMs - 60_250 && atMs <= nowMs - 60_000);
                const min = sum(certain) + sum(possible.filter(entry => entry.amount < 0));
                const max = sum(certain) + sum(possible.filter(entry => entry.amount > 0));
                expect(window.sum(nowMs)).toBeBetween(min, max);
            }
        }),
        { seed: 1, numRuns: 500 },
    );
});

test("a window rebuilt from a history has the same sum and is empty after 62 s", () => {
    fc.assert(
        fc.property(additions, addedAmounts => {
            const [window, copy] = [new SlidingWindow(0), new SlidingWindow(0)];
            let nowMs = 0;
            for (const { afterMs, amount } of addedAmounts) {
                nowMs += afterMs;
                window.add(amount, nowMs);
            }
            window.getAmountsPerSecond(nowMs).forEach((amount, age) => {
                copy.add(amount, nowMs, age);
            });
            expect(Math.abs(copy.sum(nowMs) - sum([...window.getAmountsPerSecond(nowMs).map(amount => ({ amount }))]))).toEqual(0);
            expect(copy.sum(nowMs + 62_000)).toEqual(0);
        }),
        { seed: 1, numRuns: 500 },
    );
});

function sum(entries: readonly { readonly amount: number; }[]): number {
    return entries.reduce((total, { amount }) => total + amount, 0);
}
