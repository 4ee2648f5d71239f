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
/** Longest time from the fold of a claim, on the VM that expires its key first, to the run of its call. */
const longestCallMs = 4_000;
const limits = { ...settings, retentionMs: settings.retentionMs - longestCallMs };

/** Invariants that also hold while keys expire; the others apply only to keys within their retention. */
const expiryInvariants = new Set(["doubled", "wrong-answer", "false-not-run", "sent-after-told", "sent-twice", "told-twice", "never-told"]);

function violatesExpiryInvariant(violations: readonly Violation[]): boolean {
    return violations.some(({ invariant }) => expiryInvariants.has(invariant));
}

test(`no key runs twice within its retention while keys expire and the log drops old records, ${scheduleCount} schedules, seed ${seed}`, async () => {
    const createFleet = () => new BookingFleet(undefined, settings, logKeepsMs);
    await fc.assert(bookingSchedules(undefined, undefined, violatesExpiryInvariant, createFleet, limits), { seed, numRuns: scheduleCount });
});

test("the checker detects a key retention that is shorter than the duration of calls", async () => {
    const createFleet = () => new BookingFleet(undefined, { ...settings, retentionMs: 500 }, logKeepsMs);
    const run = await fc.check(bookingSchedules(undefined, undefined, violatesExpiryInvariant, createFleet, limits), {
        seed,
        numRuns: scheduleCount,
    });
    expect(run.failed).toEqual(true);
});

test("the checker detects a log that retains records for less time than keys are retained", async () => {
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
