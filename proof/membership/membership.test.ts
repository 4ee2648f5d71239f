import { expect } from "earl";
import { test } from "node:test";
import { FakeFleet } from "./FakeFleet.js";

const zones = ["ba", "lautoka", "nadi"];

function todaysFleet(): FakeFleet {
    const fleet = new FakeFleet();
    for (const zone of zones) {
        for (const index of [1, 2, 3]) {
            fleet.start(`${zone}-${index}`, zone);
        }
    }
    fleet.advance(5000);
    return fleet;
}

/** Every VM sees exactly `expected`. */
function expectViews(fleet: FakeFleet, names: readonly string[], expected: readonly string[]): void {
    for (const name of names) {
        expect([name, fleet.view(name)]).toEqual([name, [...expected].sort()]);
    }
}

test("nine VMs that start at once see each other", () => {
    const fleet = todaysFleet();
    expectViews(fleet, fleet.names, fleet.names);
});

test("a crash is seen by all within 2 s, whichever VM crashes", () => {
    for (const name of todaysFleet().names) {
        const fleet = todaysFleet();
        fleet.crash(name);
        fleet.advance(2000);
        expectViews(fleet, fleet.names, fleet.names);
    }
});

test("a VM that drains or leaves is seen to do so within 300 ms", () => {
    const fleet = todaysFleet();
    fleet.table("nadi-2").updateLocalMember({ state: "draining" });
    fleet.advance(300);
    for (const name of fleet.names) {
        expect(fleet.table(name).members.find(member => member.vm === "nadi-2")?.state).toEqual("draining");
    }
    fleet.leave("nadi-2");
    fleet.advance(300);
    expectViews(fleet, fleet.names, fleet.names);
});

test("a VM that left no longer counts as possibly alive, one that crashed does for half a minute or while it is listed", () => {
    const fleet = todaysFleet();
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

test("a pause of 500 ms takes no VM out of any view", () => {
    const fleet = todaysFleet();
    const names = fleet.names;
    for (const name of names) {
        fleet.pause(name, 500);
        for (let step = 0; step < 30; step++) {
            fleet.advance(100);
            expectViews(fleet, names, names);
        }
    }
});

test("a one-way or silent link between two VMs takes neither out of any view while others hear both", () => {
    const fleet = todaysFleet();
    const names = fleet.names;
    fleet.cut("nadi-1", "nadi-2");
    fleet.cutBetween(["ba-1"], ["ba-2"]);
    for (let step = 0; step < 100; step++) {
        fleet.advance(100);
        expectViews(fleet, names, names);
    }
});

test("a VM that hears all but is heard by none, or is heard but hears none, is out of all other views within 2 s", () => {
    for (const isMute of [true, false]) {
        const fleet = todaysFleet();
        const others = fleet.names.filter(name => name !== "nadi-1");
        for (const other of others) {
            fleet.cut(isMute ? "nadi-1" : other, isMute ? other : "nadi-1");
        }
        fleet.advance(2000);
        expectViews(fleet, others, others);
    }
});

test("a zone that is cut off and its counterpart drop each other within 2 s and see all again within 5 s of the heal", () => {
    const fleet = todaysFleet();
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

test("a VM replaced under the same id is known by its new incarnation alone", () => {
    const fleet = todaysFleet();
    const before = fleet.table("ba-1").members.find(member => member.vm === "nadi-1")?.incarnation ?? "";
    fleet.start("nadi-1", "nadi");
    fleet.advance(2000);
    expectViews(fleet, fleet.names, fleet.names);
    for (const name of fleet.names) {
        const seen = fleet.table(name).members.filter(member => member.vm === "nadi-1");
        expect(seen.map(member => member.incarnation > before)).toEqual([true]);
    }
});

test("the offset of the configuration in force reaches every VM, per VM inside the zone and as the least of a zone outside", () => {
    const fleet = todaysFleet();
    const names = fleet.names;
    for (const name of names) {
        fleet.table(name).updateLocalMember({ configOffset: name === "ba-2" ? 7 : 9 });
    }
    fleet.advance(1000);
    const seenFrom = (name: string) => fleet.table(name).members.map(member => [member.vm, member.configOffset]);
    expect(seenFrom("ba-1")).toEqual(names.map(name => [name, name === "ba-2" ? 7 : 9]));
    expect(seenFrom("nadi-1")).toEqual(names.map(name => [name, name.startsWith("ba") ? 7 : 9]));
});
