import fc from "fast-check";
import type { AppendFault } from "../fakes/AppendFault.js";
import type { BookingStep } from "./BookingStep.js";

const vm = fc.nat(2);

const fault: fc.Arbitrary<AppendFault> = fc.oneof(
    fc.record({ kind: fc.constantFrom("lose-answer" as const, "repeat" as const, "drop" as const, "refuse" as const) }),
    fc.record({ kind: fc.constant("late" as const), afterMs: fc.constantFrom(5, 300, 1_500, 4_000, 8_000) }),
);

const call: fc.Arbitrary<BookingStep> = fc.record({
    kind: fc.constant("call" as const),
    vm,
    key: fc.nat(2),
    digest: fc.oneof({ weight: 9, arbitrary: fc.constant(0) }, { weight: 1, arbitrary: fc.constant(1) }),
    upstream: fc.record({
        kind: fc.constantFrom("answer" as const, "answer" as const, "answer" as const, "lose" as const, "refuse" as const),
        tookMs: fc.constantFrom(1, 20, 400, 3_000),
    }),
    cancelAfterMs: fc.option(fc.constantFrom(1, 10, 500), { nil: undefined, freq: 6 }),
});

/** Generates steps of a fault schedule over three VMs and three keys; the last key's upstream deduplicates. */
export const bookingStepArbitrary: fc.Arbitrary<BookingStep> = fc.oneof(
    { weight: 6, arbitrary: call },
    {
        weight: 6,
        arbitrary: fc.record({
            kind: fc.constant("advance" as const),
            durationMs: fc.constantFrom(1, 5, 7, 30, 300, 900, 1_100, 2_500, 6_000),
        }),
    },
    { weight: 4, arbitrary: fc.record({ kind: fc.constant("appendFault" as const), vm, fault }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constantFrom("logDown" as const, "logUp" as const), vm }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("logDelay" as const), vm, delayMs: fc.constantFrom(1, 50, 400, 1_200) }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom("crash" as const, "start" as const, "suspect" as const), vm }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("pause" as const), vm }) },
    {
        weight: 2,
        arbitrary: fc.record({
            kind: fc.constant("stall" as const),
            vm,
            durationMs: fc.constantFrom(300, 1_100, 2_500),
            isNewestFirst: fc.boolean(),
            wasSuspended: fc.boolean(),
        }),
    },
    {
        weight: 1,
        arbitrary: fc.record({ kind: fc.constant("resume" as const), vm, isNewestFirst: fc.boolean(), wasSuspended: fc.boolean() }),
    },
);
