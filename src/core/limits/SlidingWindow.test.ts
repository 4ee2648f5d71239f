import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { SlidingWindow } from "./SlidingWindow.js";

const steps = fc.array(fc.record({ afterMs: fc.nat(30_000), amount: fc.integer({ min: -3, max: 20 }) }), { maxLength: 60 });

test("an amount counts for a minute, and for a quarter of a second more at most", () => {
    fc.assert(
        fc.property(fc.nat(1_000_000), steps, (startMs, added) => {
            const window = new SlidingWindow(startMs);
            const all: { readonly atMs: number; readonly amount: number; }[] = [];
            let nowMs = startMs;
            for (const { afterMs, amount } of added) {
                nowMs += afterMs;
                window.add(amount, nowMs);
                all.push({ atMs: nowMs, amount });
                const sure = all.filter(({ atMs }) => atMs > nowMs - 60_000);
                const possible = all.filter(({ atMs }) => atMs > nowMs - 60_250 && atMs <= nowMs - 60_000);
                const least = sum(sure) + sum(possible.filter(entry => entry.amount < 0));
                const most = sum(sure) + sum(possible.filter(entry => entry.amount > 0));
                expect(window.sum(nowMs)).toBeBetween(least, most);
            }
        }),
        { seed: 1, numRuns: 500 },
    );
});

test("a history put into another window gives the same sum, and runs out within the same second", () => {
    fc.assert(
        fc.property(steps, added => {
            const [window, copy] = [new SlidingWindow(0), new SlidingWindow(0)];
            let nowMs = 0;
            for (const { afterMs, amount } of added) {
                nowMs += afterMs;
                window.add(amount, nowMs);
            }
            window.history(nowMs).forEach((amount, age) => {
                copy.add(amount, nowMs, age);
            });
            expect(Math.abs(copy.sum(nowMs) - sum([...window.history(nowMs).map(amount => ({ amount }))]))).toEqual(0);
            expect(copy.sum(nowMs + 62_000)).toEqual(0);
        }),
        { seed: 1, numRuns: 500 },
    );
});

function sum(entries: readonly { readonly amount: number; }[]): number {
    return entries.reduce((total, { amount }) => total + amount, 0);
}
