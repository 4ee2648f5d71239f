import { expect } from "earl";
import { test } from "node:test";
import { checkBookings } from "../checker/checkBookings.js";
import { BookingFleet } from "./BookingFleet.js";
import type { BookingStep } from "./BookingStep.js";

/** Single faults, from which the tests form every ordered pair. */
const faults: Readonly<Record<string, readonly BookingStep[]>> = {
    none: [],
    "answer lost": [{ kind: "appendFault", vm: 0, fault: { kind: "lose-answer" } }],
    "append late": [{ kind: "appendFault", vm: 0, fault: { kind: "late", afterMs: 1_500 } }],
    "append very late": [{ kind: "appendFault", vm: 0, fault: { kind: "late", afterMs: 8_000 } }],
    "append repeated": [{ kind: "appendFault", vm: 0, fault: { kind: "repeat" } }],
    "append never": [{ kind: "appendFault", vm: 0, fault: { kind: "drop" } }],
    "log down": [{ kind: "logDown", vm: 0 }],
    "log down everywhere": [{ kind: "logDown", vm: 0 }, { kind: "logDown", vm: 1 }, { kind: "logDown", vm: 2 }],
    "log slow": [{ kind: "logDelay", vm: 0, delayMs: 400 }],
    crash: [{ kind: "crash", vm: 0 }],
    "crash and start": [{ kind: "crash", vm: 0 }, { kind: "start", vm: 0 }],
    pause: [{ kind: "stall", vm: 0, durationMs: 1_100, isNewestFirst: false, wasSuspended: false }],
    suspend: [{ kind: "stall", vm: 0, durationMs: 1_100, isNewestFirst: false, wasSuspended: true }],
    suspicion: [{ kind: "suspect", vm: 0 }],
};
const gapsMs = [1, 7, 12, 300];

function call(vm: number, upstream: "answer" | "lose" | "refuse"): BookingStep {
    return { kind: "call", vm, key: 0, digest: 0, upstream: { kind: upstream, tookMs: 20 }, cancelAfterMs: undefined };
}

for (const [first, firstSteps] of Object.entries(faults)) {
    test(`a keyed call repeated across VMs runs at most once when "${first}" precedes each fault`, async () => {
        const violationDetails: string[] = [];
        for (const [second, secondSteps] of Object.entries(faults)) {
            for (const gapMs of gapsMs) {
                for (const upstream of ["answer", "lose", "refuse"] as const) {
                    const fleet = new BookingFleet();
                    const gap: BookingStep = { kind: "advance", durationMs: gapMs };
                    for (
                        const step of [
                            gap,
                            ...firstSteps,
                            call(0, upstream),
                            gap,
                            ...secondSteps,
                            call(1, upstream),
                            gap,
                            call(0, upstream),
                        ]
                    ) {
                        await fleet.perform(step);
                    }
                    await fleet.finish();
                    for (const { invariant, detail } of checkBookings(fleet.history, BookingFleet.settings)) {
                        violationDetails.push(`${first}, ${second}, ${gapMs} ms, ${upstream}: ${invariant}, ${detail}`);
                    }
                }
            }
        }
        expect(violationDetails).toEqual([]);
    });
}
