import { FakeFleet } from "../../proof/membership/FakeFleet.js";
import type { ReactionFigures } from "./ReactionFigures.js";

const warmUpMs = 15_000;
const stepMs = 50;
const maxWaitMs = 30_000;
const crashCount = 4;

/** Measures how fast a fleet observes crashes, a zone cut and its heal, a drain and a new configuration offset, in this order. */
export function measureReaction(memberCount: number, zoneCount: number): ReactionFigures {
    const fleet = new FakeFleet();
    for (let index = 0; index < memberCount; index++) {
        fleet.start(`vm-${index}`, `zone-${index % zoneCount}`);
    }
    fleet.advance(warmUpMs);
    const crashMs = Math.max(...Array.from({ length: crashCount }, () => crashOneVm(fleet)));
    const [zoneCutMs, healMs] = cutZone(fleet);
    return { memberCount, crashMs, zoneCutMs, healMs, drainMs: drainOneVm(fleet), offsetMs: updateOffsets(fleet) };
}

/** Returns the virtual time until the state is reached, or `maxWaitMs`, which is above every bound, if it is not reached by then. */
function timeUntil(fleet: FakeFleet, isReached: () => boolean): number {
    let elapsedMs = 0;
    while (elapsedMs < maxWaitMs && !isReached()) {
        fleet.advance(stepMs);
        elapsedMs += stepMs;
    }
    return elapsedMs;
}

function crashOneVm(fleet: FakeFleet): number {
    const { names } = fleet;
    const crashedVm = names[Math.floor(names.length / 2)] as string;
    fleet.crash(crashedVm);
    return timeUntil(fleet, () => fleet.names.every(name => !fleet.view(name).includes(crashedVm)));
}

function cutZone(fleet: FakeFleet): [number, number] {
    const allMembers = fleet.names;
    const zoneMembers = fleet.namesIn("zone-1");
    const otherMembers = allMembers.filter(name => !zoneMembers.includes(name));
    fleet.cutBetween(zoneMembers, otherMembers);
    const hasView = (name: string, expected: readonly string[]) => fleet.view(name).join() === expected.join();
    const cutMs = timeUntil(
        fleet,
        () => zoneMembers.every(name => hasView(name, zoneMembers)) && otherMembers.every(name => hasView(name, otherMembers)),
    );
    fleet.advance(5000);
    fleet.heal();
    return [cutMs, timeUntil(fleet, () => allMembers.every(name => hasView(name, allMembers)))];
}

function drainOneVm(fleet: FakeFleet): number {
    const drainedVm = fleet.names[0] as string;
    fleet.table(drainedVm).updateLocalMember({ state: "draining" });
    const isSeenBy = (name: string) => fleet.table(name).members.some(member => member.vm === drainedVm && member.state === "draining");
    return timeUntil(fleet, () => fleet.names.every(isSeenBy));
}

function updateOffsets(fleet: FakeFleet): number {
    for (const name of fleet.names) {
        fleet.table(name).updateLocalMember({ configOffset: 7 });
    }
    return timeUntil(fleet, () => fleet.names.every(name => fleet.table(name).members.every(member => member.configOffset === 7)));
}
