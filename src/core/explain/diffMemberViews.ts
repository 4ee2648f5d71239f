import type { Member } from "../membership/Member.js";
import type { EventDraft } from "./EventDraft.js";

/**
 * Events for the differences between two membership views: VMs that joined, disappeared, restarted or changed state, and availability
 * zones whose first VM appeared or whose last VM disappeared.
 */
export function diffMemberViews(before: readonly Member[], after: readonly Member[], ownVm: string): EventDraft[] {
    const previousByVm = new Map(before.map(member => [member.vm, member]));
    const presentVms = new Set(after.map(member => member.vm));
    const missing = before.filter(member => !presentVms.has(member.vm));
    return [
        ...after.flatMap(member => diffMember(previousByVm.get(member.vm), member, ownVm)),
        ...missing.map(member => createDraft("member", member.vm, { availabilityZone: member.availabilityZone, state: "gone" })),
        ...diffZones(collectZones(before), collectZones(after)),
    ];
}

function diffMember(before: Member | undefined, after: Member, ownVm: string): EventDraft[] {
    const facts = { availabilityZone: after.availabilityZone, state: after.state };
    if (before === undefined) {
        return [createDraft("member", after.vm, { ...facts, change: "seen" })];
    }
    if (before.incarnation !== after.incarnation) {
        return [createDraft("member", after.vm, { ...facts, change: "restarted or replaced" })];
    }
    if (before.state !== after.state) {
        return [createDraft(after.vm === ownVm && after.state === "draining" ? "drain" : "member", after.vm, facts)];
    }
    return [];
}

function diffZones(before: ReadonlySet<string>, after: ReadonlySet<string>): EventDraft[] {
    return [
        ...[...before].filter(zone => !after.has(zone)).map(zone => createDraft("zone", zone, { state: "no VM seen" })),
        ...[...after].filter(zone => !before.has(zone)).map(zone => createDraft("zone", zone, { state: "seen" })),
    ];
}

function collectZones(members: readonly Member[]): Set<string> {
    return new Set(members.map(member => member.availabilityZone));
}

function createDraft(kind: EventDraft["kind"], subject: string, facts: EventDraft["facts"]): EventDraft {
    return { kind, subject, facts };
}
