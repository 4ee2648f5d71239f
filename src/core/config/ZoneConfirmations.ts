import type { Member } from "../membership/Member.js";

interface KnownZone {
    /** When a member of the zone was last seen. */
    seenMs: number;
    /** Every member that was seen last was draining, so the zone left on purpose. */
    isLeaving: boolean;
}

/** Tells which availability zones have not confirmed a configuration offset, zones that are cut off included. */
export class ZoneConfirmations {
    private readonly zones = new Map<string, KnownZone>();

    /** A zone that vanished is remembered for `memoryMs`. */
    constructor(private readonly memoryMs: number) {}

    /** Takes the members seen now. */
    observe(members: readonly Member[], nowMs: number): void {
        for (const zone of new Set(members.map(member => member.availabilityZone))) {
            const isLeaving = members.every(member => member.availabilityZone !== zone || member.state === "draining");
            this.zones.set(zone, { seenMs: nowMs, isLeaving });
        }
        for (const [zone, known] of this.zones) {
            const isGone = !members.some(member => member.availabilityZone === zone);
            if (isGone && (known.isLeaving || nowMs - known.seenMs >= this.memoryMs)) {
                this.zones.delete(zone);
            }
        }
    }

    /** Zones with a serving member below `offset`, or with no member in sight, in order of name. */
    pending(members: readonly Member[], offset: number): string[] {
        const pending = new Set<string>();
        for (const zone of this.zones.keys()) {
            if (!members.some(member => member.availabilityZone === zone)) {
                pending.add(zone);
            }
        }
        for (const member of members) {
            if (member.state !== "starting" && member.configOffset < offset) {
                pending.add(member.availabilityZone);
            }
        }
        return [...pending].sort();
    }
}
