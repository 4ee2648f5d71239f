import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { defaultMembershipSettings } from "../../src/core/membership/defaultMembershipSettings.js";
import { MemberStore } from "../../src/core/membership/MemberStore.js";
import type { PeerMessage } from "../../src/schema/peer/PeerMessage.js";
import { FakeFleet } from "./FakeFleet.js";
import { MembershipChecker } from "./MembershipChecker.js";

const zones = ["ba", "lautoka", "nadi"];
const vms = zones.flatMap(zone => [1, 2, 3].map(index => `${zone}-${index}`));
const stepMs = 100;
const settleMs = 9000;
const scheduleCount = Number(process.env["ORIOLESHELF_MEMBERSHIP_SCHEDULES"] ?? 400);
const seed = Number(process.env["ORIOLESHELF_SEED"] ?? 1);

type Fault =
    | { readonly kind: "crash" | "start" | "leave"; readonly vm: string; }
    | { readonly kind: "pause"; readonly vm: string; readonly durationMs: number; }
    | { readonly kind: "cut"; readonly from: string; readonly to: string; }
    | { readonly kind: "cutZone"; readonly zone: string; }
    | { readonly kind: "heal"; };

/** State that decides which faults of a schedule are applicable. */
interface Model {
    readonly running: Set<string>;
}

interface World {
    readonly fleet: FakeFleet;
    readonly checker: MembershipChecker;
}

/** One fault of a schedule and the time to advance after it. */
class FaultCommand implements fc.Command<Model, World> {
    constructor(private readonly fault: Fault, private readonly durationMs: number) {}

    /** A VM that is not running cannot crash, leave or pause. */
    check(model: Readonly<Model>): boolean {
        const requiresRunningVm = this.fault.kind === "crash" || this.fault.kind === "leave" || this.fault.kind === "pause";
        return !requiresRunningVm || model.running.has((this.fault as { readonly vm: string; }).vm);
    }

    run(model: Model, world: World): void {
        if (this.fault.kind === "start") {
            model.running.add(this.fault.vm);
        }
        else if (this.fault.kind === "crash" || this.fault.kind === "leave") {
            model.running.delete(this.fault.vm);
        }
        apply(world, this.fault);
        advance(world, this.durationMs);
    }

    toString(): string {
        return `${JSON.stringify(this.fault)} then ${this.durationMs} ms`;
    }
}

function apply({ fleet, checker }: World, fault: Fault): void {
    switch (fault.kind) {
        case "crash":
            fleet.crash(fault.vm);
            checker.crashed(fault.vm);
            return;
        case "leave":
            fleet.leave(fault.vm);
            checker.crashed(fault.vm);
            return;
        case "start":
            fleet.start(fault.vm, fault.vm.split("-")[0] as string);
            checker.started(fault.vm);
            return;
        case "pause":
            fleet.pause(fault.vm, fault.durationMs);
            return;
        case "cut":
            fleet.cut(fault.from, fault.to);
            return;
        case "cutZone":
            fleet.cutBetween(vms.filter(vm => vm.startsWith(fault.zone)), vms.filter(vm => !vm.startsWith(fault.zone)));
            return;
        case "heal":
            fleet.heal();
            return;
    }
}

function advance({ fleet, checker }: World, durationMs: number): void {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
        fleet.advance(stepMs);
        const violation = checker.check();
        if (violation !== undefined) {
            throw new Error(violation);
        }
    }
}

function newWorld(fleet: FakeFleet): World {
    const world = { fleet, checker: new MembershipChecker(fleet) };
    for (const vm of vms) {
        apply(world, { kind: "start", vm });
    }
    advance(world, settleMs);
    return world;
}

const vm = fc.constantFrom(...vms);
const fault: fc.Arbitrary<Fault> = fc.oneof(
    fc.record({ kind: fc.constantFrom("crash" as const, "start" as const, "leave" as const), vm }),
    // Pauses last at most 500 ms, and a VM catches up before its next pause; a longer pause counts as a crash.
    fc.record({ kind: fc.constant("pause" as const), vm, durationMs: fc.integer({ min: 50, max: 500 }) }),
    fc.record({ kind: fc.constant("cut" as const), from: vm, to: vm }),
    fc.record({ kind: fc.constant("cutZone" as const), zone: fc.constantFrom(...zones) }),
    fc.constant({ kind: "heal" as const }),
);
const durationMs = fc.constantFrom(600, 1500, 3000, 9000);
const commands = fc.commands([fc.tuple(fault, durationMs).map(([what, duration]) => new FaultCommand(what, duration))], {
    maxCommands: 12,
});

/** Runs a schedule, heals all cuts and waits for the views to converge. */
function runSchedule(world: World, schedule: Iterable<fc.Command<Model, World>>): void {
    fc.modelRun(() => ({ model: { running: new Set(vms) }, real: world }), schedule);
    world.fleet.heal();
    advance(world, settleMs);
}

test(`views keep the membership invariants over ${scheduleCount} random fault schedules`, () => {
    fc.assert(
        fc.property(commands, schedule => {
            runSchedule(newWorld(new FakeFleet()), schedule);
        }),
        { seed, numRuns: scheduleCount },
    );
});

/** Name of the invariant that a schedule violates; undefined if the checker finds no violation. */
function violatedInvariant(fleet: FakeFleet, faults: readonly Fault[]): string | undefined {
    try {
        const schedule = faults.map(what => new FaultCommand(what, 3000));
        runSchedule(newWorld(fleet), schedule);
        return undefined;
    }
    catch (error) {
        return /(incarnation|presence|absence):/.exec(String(error))?.[1] ?? String(error);
    }
}

const cutAndHeal: Fault[] = [{ kind: "cutZone", zone: "nadi" }, { kind: "cut", from: "ba-1", to: "ba-2" }, { kind: "heal" }];

test("the checker detects an injected defect: a VM is declared gone after 400 ms without a heartbeat", () => {
    const settings = { ...defaultMembershipSettings, suspectAfterMs: 300, goneAfterMs: 400 };
    const faults: Fault[] = [{ kind: "pause", vm: "ba-1", durationMs: 500 }];
    expect(violatedInvariant(new FakeFleet({ settings }), faults)).toEqual("presence");
    expect(violatedInvariant(new FakeFleet(), faults)).toEqual(undefined);
});

test("the checker detects an injected defect: a VM never learns that it was declared gone", () => {
    const transform = (to: string, message: PeerMessage): PeerMessage =>
        message.type === "heartbeat" ? { ...message, gone: (message.gone ?? []).filter(statement => statement.vm !== to) } : message;
    const isolate: Fault[] = vms.filter(other => other !== "ba-1").map(other => ({ kind: "cut", from: "ba-1", to: other }));
    const faults: Fault[] = [...isolate, { kind: "heal" }];
    expect(violatedInvariant(new FakeFleet({ transform }), faults)).toEqual("presence");
    expect(violatedInvariant(new FakeFleet(), faults)).toEqual(undefined);
});

test("the checker detects an injected defect: a VM is never declared gone", () => {
    const settings = { ...defaultMembershipSettings, goneAfterMs: 1e9 };
    expect(violatedInvariant(new FakeFleet({ settings }), [{ kind: "crash", vm: "ba-1" }, ...cutAndHeal])).toEqual("absence");
});

test("the checker detects an injected defect: records are accepted without comparing incarnations", () => {
    const original = MemberStore.prototype.put;
    // Treats any different incarnation as newer, so a replaced VM reappears from the stale records of a partitioned zone.
    MemberStore.prototype.put = function(record, toldBy) {
        const known = this.get(record.vm)?.record;
        if (known !== undefined && record.incarnation !== known.incarnation) {
            this.remove(record.vm);
        }
        return original.call(this, record, toldBy);
    };
    try {
        const found = fc.check(
            fc.property(commands, schedule => {
                runSchedule(newWorld(new FakeFleet()), schedule);
            }),
            { seed, numRuns: scheduleCount, endOnFailure: true },
        );
        expect(String(found.errorInstance)).toMatchRegex(/incarnation:/);
    }
    finally {
        MemberStore.prototype.put = original;
    }
});
