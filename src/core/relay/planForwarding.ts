import type { Member } from "../membership/Member.js";
import { fnv1a } from "../util/fnv1a.js";
import { mixHash } from "../util/mixHash.js";

/** VMs that get a message from one of them. */
interface ForwardingGroup {
    /** VMs that may pass the message on, in the order in which to try them. */
    readonly relays: readonly string[];
    /** All VMs of the group, relays included. */
    readonly vms: readonly string[];
}

/** Largest fleet in which a VM sends to each other VM itself. */
const maxDirectVms = 24;
/** Largest number of VMs that one VM passes a message on to. */
const maxGroupVms = 24;
const relayKey = "forwarding";

/** Groups by the VM that sends, for each membership view. */
const plansByView = new WeakMap<readonly Member[], Map<string, readonly ForwardingGroup[]>>();

/**
 * Groups the other VMs of a fleet for a message to all of them: in a large fleet by availability zone, so that the sender's link carries few
 * copies and few cross zones. `members` is a membership view; a changed view is a new array.
 */
export function planForwarding(self: string, members: readonly Member[]): readonly ForwardingGroup[] {
    const plans = plansByView.get(members) ?? new Map<string, readonly ForwardingGroup[]>();
    plansByView.set(members, plans);
    const groups = plans.get(self) ?? groupMembers(members.filter(({ vm }) => vm !== self));
    plans.set(self, groups);
    return groups;
}

function groupMembers(others: readonly Member[]): readonly ForwardingGroup[] {
    if (others.length < maxDirectVms) {
        return others.map(({ vm }) => ({ relays: [vm], vms: [vm] }));
    }
    const keyHash = fnv1a(relayKey);
    const ranked = others
        .map(member => ({ member, score: mixHash(fnv1a(member.vm, keyHash)) }))
        .sort((left, right) => right.member.processorShare - left.member.processorShare || right.score - left.score)
        .map(({ member }) => member);
    const zones = new Set(ranked.map(({ availabilityZone }) => availabilityZone));
    return [...zones].flatMap(zone => splitZone(ranked.filter(({ availabilityZone }) => availabilityZone === zone)));
}

/** Deals the VMs of a zone out to groups of equal size. */
function splitZone(members: readonly Member[]): readonly ForwardingGroup[] {
    const groupCount = Math.ceil(members.length / maxGroupVms);
    const groups: Member[][] = [...Array(groupCount).keys()].map(() => []);
    for (const [index, member] of members.entries()) {
        groups[index % groupCount]?.push(member);
    }
    return groups.map(group => {
        const ready = group.filter(({ state }) => state === "ready");
        return { relays: (ready.length > 0 ? ready : group).map(({ vm }) => vm), vms: group.map(({ vm }) => vm) };
    });
}
