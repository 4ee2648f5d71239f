import fc from "fast-check";
import type { AppendFault } from "../fakes/AppendFault.js";
import type { ConfigStep } from "./ConfigStep.js";

const vm = fc.nat(3);
const zone = fc.nat(2);

const fault: fc.Arbitrary<AppendFault> = fc.oneof(
    fc.record({ kind: fc.constantFrom("lose-answer" as const, "repeat" as const, "drop" as const, "refuse" as const) }),
    fc.record({ kind: fc.constant("late" as const), afterMs: fc.constantFrom(5, 300, 1_500, 4_000) }),
);

const apply: fc.Arbitrary<ConfigStep> = fc.record({
    kind: fc.constant("apply" as const),
    vm,
    object: fc.constantFrom("class-a" as const, "class-a" as const, "class-b" as const, "customer" as const),
    op: fc.constantFrom("put" as const, "put" as const, "put" as const, "delete" as const),
    value: fc.nat(9),
    revision: fc.constantFrom("read" as const, "read" as const, "read" as const, "old" as const, "none" as const),
    waitMs: fc.constantFrom(300, 1_500, 4_000),
});

/** Generates steps of a fault schedule over four VMs in three zones. */
export const configStepArbitrary: fc.Arbitrary<ConfigStep> = fc.oneof(
    { weight: 8, arbitrary: apply },
    {
        weight: 7,
        arbitrary: fc.record({
            kind: fc.constant("advance" as const),
            durationMs: fc.constantFrom(1, 5, 20, 100, 300, 1_000, 5_000, 5_000),
        }),
    },
    { weight: 3, arbitrary: fc.record({ kind: fc.constant("appendFault" as const), vm, fault }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constantFrom("logDown" as const, "logUp" as const), vm }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("logDelay" as const), vm, delayMs: fc.constantFrom(1, 50, 600) }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constantFrom("crash" as const, "start" as const), vm }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("pause" as const), vm }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("resume" as const), vm, isNewestFirst: fc.boolean() }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constantFrom("cutZone" as const, "healZone" as const), zone }) },
    {
        weight: 1,
        arbitrary: fc.record({
            kind: fc.constant("foreignRecord" as const),
            content: fc.constantFrom("{", "", `{"type":"change","formatVersion":2}`, `{"type":"order","formatVersion":1}`),
        }),
    },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("replace" as const), vm }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("forget" as const), kept: fc.constantFrom(1, 3) }) },
);
