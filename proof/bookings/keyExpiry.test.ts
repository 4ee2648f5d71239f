import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { checkBookings } from "../checker/checkBookings.js";
import type { Violation } from "../checker/Violation.js";
import { BookingFleet } from "./BookingFleet.js";
import { bookingSchedules } from "./bookingSchedules.js";
import type { BookingStep } from "./BookingStep.js";

const seed = 20_261_204;
const scheduleCount = 300;
const settings = { ...BookingFleet.settings, joinWaitMs: 2_000, retentionMs: 8_000 };
const logKeepsMs = 12_000;
/** A call may run this long after its claim was folded by the VM that forgets it first. */
const longestCallMs = 4_000;
const limits = { ...settings, retentionMs: settings.retentionMs - longestCallMs };

/** Promises that hold also while keys expire; the others speak of keys that are still kept. */
const lasting = new Set(["doubled", "wrong-answer", "false-not-run", "sent-after-told", "sent-twice", "told-twice", "never-told"]);

function broken(violations: readonly Violation[]): boolean {
    return violations.some(({ invariant }) => lasting.has(invariant));
}

test(`no key runs twice within its retention while keys expire and the log forgets, ${scheduleCount} schedules, seed ${seed}`, async () => {
    const createFleet = () => new BookingFleet(undefined, settings, logKeepsMs);
    await fc.assert(bookingSchedules(undefined, undefined, broken, createFleet, limits), { seed, numRuns: scheduleCount });
});

test("the checker notices a retention that is shorter than calls last", async () => {
    const createFleet = () => new BookingFleet(undefined, { ...settings, retentionMs: 500 }, logKeepsMs);
    const run = await fc.check(bookingSchedules(undefined, undefined, broken, createFleet, limits), { seed, numRuns: scheduleCount });
    expect(run.failed).toEqual(true);
});

test("the checker notices a log that keeps records for less than the retention of keys", async () => {
    const fleet = new BookingFleet(undefined, settings, 500);
    const call = { kind: "call", key: 0, digest: 0, upstream: { kind: "answer", tookMs: 1 }, cancelAfterMs: undefined } as const;
    const wait = { kind: "advance", durationMs: 900 } as const;
    const steps: BookingStep[] = [
        { ...call, vm: 0 },
        wait,
        { kind: "crash", vm: 1 },
        { kind: "start", vm: 1 },
        wait,
        { ...call, vm: 1 },
        wait,
    ];
    for (const step of steps) {
        await fleet.perform(step);
    }
    await fleet.finish();
    expect(checkBookings(fleet.history, limits).map(violation => violation.invariant)).toInclude("doubled");
});
