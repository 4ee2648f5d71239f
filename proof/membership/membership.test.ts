import { expect } from "earl";
import { test } from "node:test";
import { FakeFleet } from "./FakeFleet.js";

const zones = ["ba", "lautoka", "nadi"];

function startNineVmFleet(): FakeFleet {
    const fleet = new FakeFleet();
    for (const zone of zones) {
        for (const index of [1, 2, 3]) {
            fleet.start(`${zone}-${index}`, zone);
        }
    }
    fleet.advance(5000);
    return fleet;
}

/** Asserts that the view of each VM in `names` is exactly `expected`. */
function expectViews(fleet: FakeFleet, names: readonly string[], expected: readonly string[]): void {
    for (const name of names) {
        expect([name, fleet.view(name)]).toEqual([name, [...expected].sort()]);
    }
}

test("nine VMs that start at the same time all see each other", () => {
    const fleet = startNineVmFleet();
    expectViews(fleet, fleet.names, fleet.names);
});

test("all VMs detect the crash of any VM within 2 s", () => {
    for (const name of startNineVmFleet().names) {
        const fleet = startNineVmFleet();
        fleet.crash(name);
        fleet.advance(2000);
        expectViews(fleet, fleet.names, fleet.names);
    }
});

test("all VMs learn within 300 ms that a VM is draining or has left", () => {
    const fleet = startNineVmFleet();
    fleet.table("nadi-2").updateLocalMember({ state: "draining" });
    fleet.advance(300);
    for (const name of fleet.names) {
        expect(fleet.table(name).members.find(member => member.vm === "nadi-2")?.state).toEqual("draining");
    }
    fleet.leave("nadi-2");
    fleet.advance(300);
    expectViews(fleet, fleet.names, fleet.names);
});

test("a VM that left no longer counts as possibly alive; a crashed VM does for 30 s or while it is listed", () => {
    const fleet = startNineVmFleet();
    const counts = () => new Set(fleet.names.map(name => fleet.table(name).possiblyAliveCount));
    fleet.leave("nadi-2");
    fleet.advance(300);
    expect([...counts()]).toEqual([8]);
    fleet.crash("ba-1");
    fleet.advance(20_000);
    expect([...counts()]).toEqual([8]);
    fleet.table("ba-2").setListedVms(["ba-1"]);
    fleet.advance(20_000);
    expect([...counts()].sort()).toEqual([7, 8]);
});

test("a pause of 500 ms removes no VM from any view", () => {
    const fleet = startNineVmFleet();
    const names = fleet.names;
    for (const name of names) {
        fleet.pause(name, 500);
        for (let step = 0; step < 30; step++) {
            fleet.advance(100);
            expectViews(fleet, names, names);
        }
    }
});

test("a link cut in one or both directions removes neither VM from any view while other VMs hear both", () => {
    const fleet = startNineVmFleet();
    const names = fleet.names;
    fleet.cut("nadi-1", "nadi-2");
    fleet.cutBetween(["ba-1"], ["ba-2"]);
    for (let step = 0; step < 100; step++) {
        fleet.advance(100);
        expectViews(fleet, names, names);
    }
});

test("a VM that can only receive or only send is removed from all other views within 2 s", () => {
    for (const isReceiveOnly of [true, false]) {
        const fleet = startNineVmFleet();
        const others = fleet.names.filter(name => name !== "nadi-1");
        for (const other of others) {
            fleet.cut(isReceiveOnly ? "nadi-1" : other, isReceiveOnly ? other : "nadi-1");
        }
        fleet.advance(2000);
        expectViews(fleet, others, others);
    }
});

test("the two sides of a zone partition remove each other within 2 s and see all VMs again within 5 s of the heal", () => {
    const fleet = startNineVmFleet();
    const all = fleet.names;
    const inside = fleet.namesIn("nadi");
    const outside = all.filter(name => !inside.includes(name));
    fleet.cutBetween(inside, outside);
    fleet.advance(2000);
    expectViews(fleet, inside, inside);
    expectViews(fleet, outside, outside);
    fleet.advance(60_000);
    expectViews(fleet, inside, inside);
    fleet.heal();
    fleet.advance(5000);
    expectViews(fleet, all, all);
});

test("a VM replaced under the same id is listed with its new incarnation only", () => {
    const fleet = startNineVmFleet();
    const before = fleet.table("ba-1").members.find(member => member.vm === "nadi-1")?.incarnation ?? "";
    fleet.start("nadi-1", "nadi");
    fleet.advance(2000);
    expectViews(fleet, fleet.names, fleet.names);
    for (const name of fleet.names) {
        const seen = fleet.table(name).members.filter(member => member.vm === "nadi-1");
        expect(seen.map(member => member.incarnation > before)).toEqual([true]);
    }
});

test("the configuration offset in force reaches every VM: per VM within the zone, as the zone's minimum outside it", () => {
    const fleet = startNineVmFleet();
    const names = fleet.names;
    for (const name of names) {
        fleet.table(name).updateLocalMember({ configOffset: name === "ba-2" ? 7 : 9 });
    }
    fleet.advance(1000);
    const seenFrom = (name: string) => fleet.table(name).members.map(member => [member.vm, member.configOffset]);
    expect(seenFrom("ba-1")).toEqual(names.map(name => [name, name === "ba-2" ? 7 : 9]));
    expect(seenFrom("nadi-1")).toEqual(names.map(name => [name, name.startsWith("ba") ? 7 : 9]));
});
