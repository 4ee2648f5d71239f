import type { Member } from "../membership/Member.js";

interface RetainedZone {
    /** When a member of the zone was last visible. */
    lastSeenAtMs: number;
    /** Whether all members were draining when the zone was last visible, which means that the zone is being shut down. */
    isLeaving: boolean;
}

/** Determines which availability zones, including unreachable ones, have not confirmed a configuration offset. */
export class ZoneConfirmations {
    private readonly retainedZones = new Map<string, RetainedZone>();

    /**
     * The zones in `configuredZones` must always confirm. Any other zone must confirm once it has been visible, until it is shut down or
     * has not been visible for `retentionMs`.
     */
    constructor(private readonly configuredZones: readonly string[], private readonly retentionMs: number) {}

    /** Updates the zones that must confirm from the members that are visible now. */
    observe(members: readonly Member[], nowMs: number): void {
        const membersByZone = Map.groupBy(members, member => member.availabilityZone);
        for (const [zone, zoneMembers] of membersByZone) {
            this.retainedZones.set(zone, { lastSeenAtMs: nowMs, isLeaving: zoneMembers.every(member => member.state === "draining") });
        }
        for (const [zone, { lastSeenAtMs, isLeaving }] of this.retainedZones) {
            if (!membersByZone.has(zone) && (isLeaving || nowMs - lastSeenAtMs >= this.retentionMs)) {
                this.retainedZones.delete(zone);
            }
        }
    }

    /** Zones that must confirm and have no started member, or one with an offset below `offset`; ordered by name. */
    listPendingZones(members: readonly Member[], offset: number): string[] {
        const startedMembersByZone = Map.groupBy(members.filter(member => member.state !== "starting"), member => member.availabilityZone);
        const requiredZones = new Set([...this.configuredZones, ...this.retainedZones.keys()]);
        const isConfirmed = (zone: string) => startedMembersByZone.get(zone)?.every(member => member.configOffset >= offset) ?? false;
        return [...requiredZones].filter(zone => !isConfirmed(zone)).sort();
    }
}
