import { FakeFleet } from "../../proof/membership/FakeFleet.js";
import type { ReactionFigures } from "./ReactionFigures.js";

const warmUpMs = 15_000;
const stepMs = 50;
const patienceMs = 30_000;
const crashCount = 4;

/** Brings a crash, a zone cut and its heal, a drain and a new configuration about, one after the other. */
export function measureReaction(memberCount: number, zoneCount: number): ReactionFigures {
    const fleet = new FakeFleet();
    for (let index = 0; index < memberCount; index++) {
        fleet.start(`vm-${index}`, `zone-${index % zoneCount}`);
    }
    fleet.advance(warmUpMs);
    const crashMs = Math.max(...Array.from({ length: crashCount }, () => crashOne(fleet)));
    const [zoneCutMs, healMs] = cutZone(fleet);
    return { memberCount, crashMs, zoneCutMs, healMs, drainMs: drainOne(fleet), offsetMs: spreadOffset(fleet) };
}

/** Time until a state that is waited for; patience runs out at a figure above every bound. */
function timeUntil(fleet: FakeFleet, isReached: () => boolean): number {
    let elapsedMs = 0;
    while (elapsedMs < patienceMs && !isReached()) {
        fleet.advance(stepMs);
        elapsedMs += stepMs;
    }
    return elapsedMs;
}

function crashOne(fleet: FakeFleet): number {
    const { names } = fleet;
    const victim = names[Math.floor(names.length / 2)] as string;
    fleet.crash(victim);
    return timeUntil(fleet, () => fleet.names.every(name => !fleet.view(name).includes(victim)));
}

function cutZone(fleet: FakeFleet): [number, number] {
    const all = fleet.names;
    const inside = fleet.namesIn("zone-1");
    const outside = all.filter(name => !inside.includes(name));
    fleet.cutBetween(inside, outside);
    const sees = (name: string, expected: readonly string[]) => fleet.view(name).join() === expected.join();
    const cutMs = timeUntil(fleet, () => inside.every(name => sees(name, inside)) && outside.every(name => sees(name, outside)));
    fleet.advance(5000);
    fleet.heal();
    return [cutMs, timeUntil(fleet, () => all.every(name => sees(name, all)))];
}

function drainOne(fleet: FakeFleet): number {
    const drained = fleet.names[0] as string;
    fleet.table(drained).updateLocalMember({ state: "draining" });
    const isSeenBy = (name: string) => fleet.table(name).members.some(member => member.vm === drained && member.state === "draining");
    return timeUntil(fleet, () => fleet.names.every(isSeenBy));
}

function spreadOffset(fleet: FakeFleet): number {
    for (const name of fleet.names) {
        fleet.table(name).updateLocalMember({ configOffset: 7 });
    }
    return timeUntil(fleet, () => fleet.names.every(name => fleet.table(name).members.every(member => member.configOffset === 7)));
}
