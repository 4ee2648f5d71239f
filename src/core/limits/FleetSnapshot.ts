/** What a quota owner knows of the fleet when it lends. */
export interface FleetSnapshot {
    readonly memberCount: number;
    /** Members, and VMs that may be alive but cannot be reached; these keep their even share. */
    readonly possiblyAliveCount: number;
    readonly isMember: (vm: string) => boolean;
    /** When a member last came or went: what VMs used before that is not all known yet. */
    readonly membershipChangedAtMs: number;
}
