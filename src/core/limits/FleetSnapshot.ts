/** Fleet membership as the quota owner sees it when it issues a loan. */
export interface FleetSnapshot {
    readonly memberCount: number;
    /** Members plus VMs that are unreachable but may be alive; the latter keep their even share, which is not lent out. */
    readonly possiblyAliveCount: number;
    readonly isMember: (vm: string) => boolean;
    /** When a member last joined or left. Usage from before that time may not be fully reported yet. */
    readonly membershipChangedAtMs: number;
}
