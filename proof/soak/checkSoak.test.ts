import { expect } from "earl";
import { test } from "node:test";
import { checkSoak } from "./checkSoak.js";
import { planSoak } from "./planSoak.js";
import type { SoakArrival } from "./SoakArrival.js";
import type { SoakCall } from "./SoakCall.js";
import { soakEvents } from "./soakEvents.js";
import type { SoakFault } from "./SoakFault.js";
import type { SoakHistory } from "./SoakHistory.js";
import type { SoakRun } from "./SoakRun.js";
import { soakSeal } from "./soakSeal.js";

const call = (fields: Partial<SoakCall>): SoakCall => ({
    id: "c-1",
    route: "once",
    vm: "front-0",
    sentMs: 1_000,
    endedMs: 1_100,
    status: 200,
    seal: soakSeal("c-1"),
    text: "done c-1",
    error: undefined,
    ...fields,
});
const run = (fields: Partial<SoakRun> = {}): SoakRun => ({
    id: "c-1",
    upstream: "i-0",
    atMs: 1_020,
    drainingSinceMs: undefined,
    ...fields,
});
const arrival = (fields: Partial<SoakArrival> = {}): SoakArrival => ({
    id: "c-1",
    upstream: "i-0",
    born: 1,
    atMs: 1_020,
    pauseMs: undefined,
    isLeaving: false,
    ...fields,
});
const stream = (text: string, error?: string) => call({ route: "stream", text, error });

function violatedGuarantees(fields: Partial<SoakHistory>): readonly string[] {
    const history = {
        calls: [call({})],
        runs: [run()],
        arrivals: [],
        faults: [],
        unexpectedExits: [],
        vms: ["front-0", "front-1"],
        faultsEndedMs: 100_000,
        ...fields,
    };
    return checkSoak(history).map(line => line.split(":")[0] ?? "");
}

test("the checker accepts a history without violations", () => {
    const calls = [call({}), stream(soakEvents("c-1", 0).join("")), stream(soakEvents("c-1", 0).slice(0, 3).join(""), "terminated")];
    expect(violatedGuarantees({ calls })).toEqual([]);
});

for (
    const [what, fields, guarantee] of [
        ["a response that belongs to another call", { calls: [call({ seal: soakSeal("c-2") })] }, "mixed"],
        ["a truncated response without an error", { calls: [call({ text: "done" })] }, "mixed"],
        [
            "a stream with a missing event",
            { calls: [stream(soakEvents("c-1", 0).toSpliced(4, 1).join(""))] },
            "order",
        ],
        ["a duplicate event", { calls: [stream(soakEvents("c-1", 0)[0]?.repeat(2) ?? "", "cut")] }, "order"],
        [
            "a stream that ends without an error before its last event",
            { calls: [stream(soakEvents("c-1", 0).slice(0, 5).join(""))] },
            "order",
        ],
        ["a non-idempotent call that ran twice", { runs: [run(), run({ upstream: "i-1" })] }, "twice"],
        ["a call that ran although it was refused", { calls: [call({ status: 503 })] }, "refused"],
        ["a run without a call", { runs: [run(), run({ id: "c-9" })] }, "unasked"],
        ["work sent to an upstream long after it began to drain", { runs: [run({ atMs: 9_000, drainingSinceMs: 2_000 })] }, "drain"],
        ["a call cut off by a SIGTERM", {
            calls: [call({ error: "terminated", endedMs: 3_000 })],
            faults: [{ kind: "stop", atMs: 2_000, durationMs: 0, target: 0 }],
        }, "lost"],
        ["a call left without a response after a SIGTERM", {
            calls: [call({ status: 0, seal: undefined, text: "", error: "other side closed", endedMs: 3_000 })],
            faults: [{ kind: "stop", atMs: 2_000, durationMs: 0, target: 0 }],
        }, "lost"],
        [
            "calls still refused after the limit for recovery",
            { calls: [call({ status: 503 })], runs: [], faultsEndedMs: -20_000 },
            "recover",
        ],
        ["calls sent to an upstream in the pause that it asked for", {
            arrivals: [arrival({ pauseMs: 2_000 }), arrival({ atMs: 1_700 }), arrival({ atMs: 2_200 }), arrival({ atMs: 2_900 })],
        }, "pause"],
        ["a call sent to an upstream that had said that it was leaving", {
            calls: [call({}), call({ id: "c-2", sentMs: 3_200, endedMs: 3_300, seal: soakSeal("c-2"), text: "done c-2" })],
            runs: [run(), run({ id: "c-2" })],
            arrivals: [arrival({ isLeaving: true }), arrival({ id: "c-2", atMs: 3_220 })],
        }, "leaving"],
        ["a process that exited without a signal", { unexpectedExits: ["front-0"] }, "exit"],
    ] as const
) {
    test(`the checker finds ${what}`, () => {
        expect(violatedGuarantees(fields)).toEqual([guarantee]);
    });
}

test("the checker excuses violations that a concurrent fault can cause, and no others", () => {
    const calls = [call({ error: "terminated", endedMs: 3_000 })];
    const stop = { kind: "stop", atMs: 2_000, durationMs: 0, target: 0 } as const;
    const checkWith = (fault: Pick<SoakFault, "kind" | "target">) =>
        violatedGuarantees({ calls, faults: [stop, { ...fault, atMs: 2_500, durationMs: 0 }] });
    expect(checkWith({ kind: "upstream-resets", target: 1 })).toEqual([]);
    expect(checkWith({ kind: "kill", target: 0 })).toEqual([]);
    expect([checkWith({ kind: "kill", target: 1 }), checkWith({ kind: "store-resets", target: 0 })]).toEqual([["lost"], ["lost"]]);
    const runs = [run({ atMs: 9_000, drainingSinceMs: 2_000 })];
    expect(violatedGuarantees({ runs, faults: [{ kind: "store-silent", atMs: 3_000, durationMs: 2_000, target: 0 }] })).toEqual([]);
});

test("a seed always gives the same plan, and another seed a different one", () => {
    const plan = (seed: number) => planSoak(seed, { targets: 6, lengthMs: 10_000 });
    expect(plan(3)).toEqual(plan(3));
    expect(JSON.stringify(plan(3)) === JSON.stringify(plan(4))).toEqual(false);
});
