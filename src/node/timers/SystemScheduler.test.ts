import { expect } from "earl";
import { test } from "node:test";
import { SystemScheduler } from "./SystemScheduler.js";

/** Node.js timers have a resolution of 1 ms and may fire up to 1 ms early. */
const timerGranularityMs = 1;

test("a periodic timer fires once per period, at multiples of it, and not after its signal aborts", async () => {
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

test("a periodic timer is told how late it fires", async () => {
    const scheduler = new SystemScheduler();
    const controller = new AbortController();
    const periodMs = 20;
    const blockedMs = 70;
    const latenessesMs: number[] = [];
    await new Promise<void>(resolve => {
        scheduler.every(periodMs, latenessMs => {
            latenessesMs.push(latenessMs);
            if (latenessesMs.length === 2) {
                controller.abort();
                resolve();
                return;
            }
            const startedMs = scheduler.nowMs();
            while (scheduler.nowMs() - startedMs < blockedMs) {
                // Keeps the event loop busy beyond the next time at which the timer is due.
            }
        }, controller.signal);
    });
    expect(latenessesMs.every(latenessMs => latenessMs >= 0)).toEqual(true);
    expect(latenessesMs[1]! >= blockedMs - periodMs - timerGranularityMs).toEqual(true);
});
