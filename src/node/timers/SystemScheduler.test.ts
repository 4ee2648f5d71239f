import { expect } from "earl";
import { test } from "node:test";
import { SystemScheduler } from "./SystemScheduler.js";

/** Node.js timers count whole milliseconds and may fire up to 1 ms before the instant they were armed for. */
const timerGranularityMs = 1;

test("periodic timers fire once a period, at its multiples, until their signal aborts", async () => {
    const scheduler = new SystemScheduler();
    const controller = new AbortController();
    const periodMs = 20;
    const firedMs: number[] = [];
    await new Promise<void>(resolve => {
        scheduler.every(periodMs, () => {
            firedMs.push(scheduler.nowMs());
            if (firedMs.length === 5) {
                controller.abort();
                resolve();
            }
        }, controller.signal);
    });
    const multiples = firedMs.map(ms => Math.floor((ms + timerGranularityMs) / periodMs));
    expect(new Set(multiples).size).toEqual(multiples.length);
    expect(multiples).toEqual(multiples.toSorted((first, second) => first - second));
    await new Promise(resolve => {
        setTimeout(resolve, 3 * periodMs);
    });
    expect(firedMs.length).toEqual(5);
});
