import { expect } from "earl";
import { test } from "node:test";
import { SystemScheduler } from "./SystemScheduler.js";

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
    const periods = firedMs.map(ms => Math.floor(ms / periodMs));
    expect(new Set(periods).size).toEqual(periods.length);
    await new Promise(resolve => {
        setTimeout(resolve, 3 * periodMs);
    });
    expect(firedMs.length).toEqual(5);
});
