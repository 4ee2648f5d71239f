import type { Member } from "../membership/Member.js";

interface SeenZone {
    /** When a member of the zone was last seen. */
    seenMs: number;
    /** Every member that was seen last was draining, so the zone left on purpose. */
    isLeaving: boolean;
}

/** Tells which availability zones have not confirmed a configuration offset, zones that are cut off included. */
export class ZoneConfirmations {
    private readonly seen = new Map<string, SeenZone>();

    /**
     * `zones` must always confirm. Another zone must confirm from when it was seen until it has left on purpose or has been out of
     * sight for `memoryMs`.
     */
    constructor(private readonly zones: readonly string[], private readonly memoryMs: number) {}

    /** Takes the members seen now. */
    observe(members: readonly Member[], nowMs: number): void {
        const present = Map.groupBy(members, member => member.availabilityZone);
        for (const [zone, zoneMembers] of present) {
            this.seen.set(zone, { seenMs: nowMs, isLeaving: zoneMembers.every(member => member.state === "draining") });
        }
        for (const [zone, { seenMs, isLeaving }] of this.seen) {
            if (!present.has(zone) && (isLeaving || nowMs - seenMs >= this.memoryMs)) {
                this.seen.delete(zone);
            }
        }
    }

    /** Zones without a serving member in sight, or with one below `offset`, in order of name. */
    pending(members: readonly Member[], offset: number): string[] {
        const serving = Map.groupBy(members.filter(member => member.state !== "starting"), member => member.availabilityZone);
        const wanted = new Set([...this.zones, ...this.seen.keys()]);
        const isConfirmed = (zone: string) => serving.get(zone)?.every(member => member.configOffset >= offset) ?? false;
        return [...wanted].filter(zone => !isConfirmed(zone)).sort();
    }
}
