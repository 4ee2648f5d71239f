import { expect } from "earl";
import { test } from "node:test";
import { checkSoak } from "./checkSoak.js";
import { planSoak } from "./planSoak.js";
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
    askedMs: 1_000,
    endedMs: 1_100,
    status: 200,
    seal: soakSeal("c-1"),
    text: "done c-1",
    error: undefined,
    ...fields,
});
const run = (fields: Partial<SoakRun> = {}): SoakRun => ({ id: "c-1", upstream: "i-0", atMs: 1_020, leavingSinceMs: undefined, ...fields });
const stream = (text: string, error?: string) => call({ route: "stream", text, error });

function broken(fields: Partial<SoakHistory>): readonly string[] {
    const history = { calls: [call({})], runs: [run()], faults: [], ownExits: [], vms: ["front-0", "front-1"], calmMs: 100_000, ...fields };
    return checkSoak(history).map(line => line.split(":")[0] ?? "");
}

test("a history in which all promises are kept", () => {
    const calls = [call({}), stream(soakEvents("c-1", 0).join("")), stream(soakEvents("c-1", 0).slice(0, 3).join(""), "terminated")];
    expect(broken({ calls })).toEqual([]);
});

for (
    const [what, fields, promise] of [
        ["an answer of another call", { calls: [call({ seal: soakSeal("c-2") })] }, "mixed"],
        ["an answer that is not whole", { calls: [call({ text: "done" })] }, "mixed"],
        [
            "a stream that lacks an event",
            { calls: [stream(soakEvents("c-1", 0).toSpliced(4, 1).join(""))] },
            "order",
        ],
        ["an event that comes twice", { calls: [stream(soakEvents("c-1", 0)[0]?.repeat(2) ?? "", "cut")] }, "order"],
        ["a stream that looks complete too early", { calls: [stream(soakEvents("c-1", 0).slice(0, 5).join(""))] }, "order"],
        ["a call that ran twice", { runs: [run(), run({ upstream: "i-1" })] }, "twice"],
        ["a refused call that ran", { calls: [call({ status: 503 })] }, "refused"],
        ["a run that nobody asked for", { runs: [run(), run({ id: "c-9" })] }, "unasked"],
        ["work for an upstream that left long ago", { runs: [run({ atMs: 9_000, leavingSinceMs: 2_000 })] }, "drain"],
        ["a call cut off by a planned stop", {
            calls: [call({ error: "terminated", endedMs: 3_000 })],
            faults: [{ kind: "stop", atMs: 2_000, forMs: 0, target: 0 }],
        }, "lost"],
        ["a call that a planned stop left without an answer", {
            calls: [call({ status: 0, seal: undefined, text: "", error: "other side closed", endedMs: 3_000 })],
            faults: [{ kind: "stop", atMs: 2_000, forMs: 0, target: 0 }],
        }, "lost"],
        ["calls that stay unserved", { calls: [call({ status: 503 })], runs: [], calmMs: -20_000 }, "recover"],
        ["a process that ended by itself", { ownExits: ["front-0"] }, "exit"],
    ] as const
) {
    test(`the checker finds ${what}`, () => {
        expect(broken(fields)).toEqual([promise]);
    });
}

test("faults that were at work excuse what they cause", () => {
    const calls = [call({ error: "terminated", endedMs: 3_000 })];
    const stop = { kind: "stop", atMs: 2_000, forMs: 0, target: 0 } as const;
    const beside = (fault: Pick<SoakFault, "kind" | "target">) => broken({ calls, faults: [stop, { ...fault, atMs: 2_500, forMs: 0 }] });
    expect(beside({ kind: "upstream-resets", target: 1 })).toEqual([]);
    expect(beside({ kind: "kill", target: 0 })).toEqual([]);
    expect([beside({ kind: "kill", target: 1 }), beside({ kind: "store-resets", target: 0 })]).toEqual([["lost"], ["lost"]]);
    const runs = [run({ atMs: 9_000, leavingSinceMs: 2_000 })];
    expect(broken({ runs, faults: [{ kind: "store-silent", atMs: 3_000, forMs: 2_000, target: 0 }] })).toEqual([]);
});

test("a seed always draws the same plan, and plans differ", () => {
    const plan = (seed: number) => planSoak(seed, { targets: 6, lengthMs: 10_000 });
    expect(plan(3)).toEqual(plan(3));
    expect(JSON.stringify(plan(3)) === JSON.stringify(plan(4))).toEqual(false);
});
