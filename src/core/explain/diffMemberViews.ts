import type { Member } from "../membership/Member.js";
import type { EventDraft } from "./EventDraft.js";

/** What changed between two membership views: VMs that came, went or changed state, and zones of which no VM is seen any more. */
export function diffMemberViews(before: readonly Member[], after: readonly Member[], ownVm: string): EventDraft[] {
    const known = new Map(before.map(member => [member.vm, member]));
    const now = new Set(after.map(member => member.vm));
    const gone = before.filter(member => !now.has(member.vm));
    return [
        ...after.flatMap(member => changeOf(known.get(member.vm), member, ownVm)),
        ...gone.map(member => draft("member", member.vm, { availabilityZone: member.availabilityZone, state: "gone" })),
        ...zoneEvents(zonesOf(before), zonesOf(after)),
    ];
}

function changeOf(before: Member | undefined, after: Member, ownVm: string): EventDraft[] {
    const facts = { availabilityZone: after.availabilityZone, state: after.state };
    if (before === undefined) {
        return [draft("member", after.vm, { ...facts, change: "seen" })];
    }
    if (before.incarnation !== after.incarnation) {
        return [draft("member", after.vm, { ...facts, change: "restarted or replaced" })];
    }
    if (before.state !== after.state) {
        return [draft(after.vm === ownVm && after.state === "draining" ? "drain" : "member", after.vm, facts)];
    }
    return [];
}

function zoneEvents(before: ReadonlySet<string>, after: ReadonlySet<string>): EventDraft[] {
    return [
        ...[...before].filter(zone => !after.has(zone)).map(zone => draft("zone", zone, { state: "no VM seen" })),
        ...[...after].filter(zone => !before.has(zone)).map(zone => draft("zone", zone, { state: "seen" })),
    ];
}

function zonesOf(members: readonly Member[]): Set<string> {
    return new Set(members.map(member => member.availabilityZone));
}

function draft(kind: EventDraft["kind"], subject: string, facts: EventDraft["facts"]): EventDraft {
    return { kind, subject, facts };
}
