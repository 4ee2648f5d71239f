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

/** What a schedule needs to know to stay sensible. */
interface Model {
    readonly running: Set<string>;
}

interface World {
    readonly fleet: FakeFleet;
    readonly checker: MembershipChecker;
}

/** One fault of a schedule, and the time that passes after it. */
class FaultCommand implements fc.Command<Model, World> {
    constructor(private readonly fault: Fault, private readonly durationMs: number) {}

    /** A VM that does not run can only be started. */
    check(model: Readonly<Model>): boolean {
        const isAboutVm = this.fault.kind === "crash" || this.fault.kind === "leave" || this.fault.kind === "pause";
        return !isAboutVm || model.running.has((this.fault as { readonly vm: string; }).vm);
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
        const broken = checker.check();
        if (broken !== undefined) {
            throw new Error(broken);
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
    // Pauses of one VM follow each other only after it has caught up; longer standstills count as crashes.
    fc.record({ kind: fc.constant("pause" as const), vm, durationMs: fc.integer({ min: 50, max: 500 }) }),
    fc.record({ kind: fc.constant("cut" as const), from: vm, to: vm }),
    fc.record({ kind: fc.constant("cutZone" as const), zone: fc.constantFrom(...zones) }),
    fc.constant({ kind: "heal" as const }),
);
const durationMs = fc.constantFrom(600, 1500, 3000, 9000);
const commands = fc.commands([fc.tuple(fault, durationMs).map(([what, duration]) => new FaultCommand(what, duration))], {
    maxCommands: 12,
});

/** Runs a schedule, heals all cuts, and waits for the views to settle. */
function runSchedule(world: World, schedule: Iterable<fc.Command<Model, World>>): void {
    fc.modelRun(() => ({ model: { running: new Set(vms) }, real: world }), schedule);
    world.fleet.heal();
    advance(world, settleMs);
}

test(`views hold to the rules over ${scheduleCount} random schedules of faults`, () => {
    fc.assert(
        fc.property(commands, schedule => {
            runSchedule(newWorld(new FakeFleet()), schedule);
        }),
        { seed, numRuns: scheduleCount },
    );
});

/** The rule that a planted fault breaks under one schedule; undefined when it goes unnoticed. */
function brokenRule(fleet: FakeFleet, faults: readonly Fault[]): string | undefined {
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

test("planted: giving a VM up after 400 ms without a heartbeat is caught", () => {
    const settings = { ...defaultMembershipSettings, suspectAfterMs: 300, goneAfterMs: 400 };
    const faults: Fault[] = [{ kind: "pause", vm: "ba-1", durationMs: 500 }];
    expect(brokenRule(new FakeFleet({ settings }), faults)).toEqual("presence");
    expect(brokenRule(new FakeFleet(), faults)).toEqual(undefined);
});

test("planted: a VM that never hears that it was given up is caught", () => {
    const transform = (to: string, message: PeerMessage): PeerMessage =>
        message.type === "heartbeat" ? { ...message, gone: (message.gone ?? []).filter(statement => statement.vm !== to) } : message;
    const isolate: Fault[] = vms.filter(other => other !== "ba-1").map(other => ({ kind: "cut", from: "ba-1", to: other }));
    const faults: Fault[] = [...isolate, { kind: "heal" }];
    expect(brokenRule(new FakeFleet({ transform }), faults)).toEqual("presence");
    expect(brokenRule(new FakeFleet(), faults)).toEqual(undefined);
});

test("planted: never giving a VM up is caught", () => {
    const settings = { ...defaultMembershipSettings, goneAfterMs: 1e9 };
    expect(brokenRule(new FakeFleet({ settings }), [{ kind: "crash", vm: "ba-1" }, ...cutAndHeal])).toEqual("absence");
});

test("planted: taking a record over without looking at its incarnation is caught", () => {
    const original = MemberStore.prototype.put;
    // Any other incarnation counts as newer: a VM that was replaced comes back from the memory of a zone that was cut off.
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
