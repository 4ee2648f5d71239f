/** Timing of membership. All durations in milliseconds. */
export interface MembershipSettings {
    readonly tickMs: number;
    readonly heartbeatIntervalMs: number;
    /** A neighbour not heard for this long is asked after at other VMs. */
    readonly suspectAfterMs: number;
    /** A neighbour that nobody has heard for this long is gone. */
    readonly goneAfterMs: number;
    readonly probeIntervalMs: number;
    /** A statement that a VM is gone is checked before it is believed, once it is older than this. */
    readonly maxTrustedTombstoneAgeMs: number;
    /** How long VMs that are gone are remembered, and dialled now and then in case they were only cut off. */
    readonly tombstoneRetentionMs: number;
    /** How long a VM that is gone, and that the platform does not list, counts as possibly alive. */
    readonly possiblyAliveMs: number;
    /**
     * Neighbours are chosen again only this long after the last choice, unless one is gone. While a fleet starts, a choice at each VM that
     * joins would open links that are of no use a moment later.
     */
    readonly minNeighbourSelectionIntervalMs: number;
    readonly minSyncIntervalMs: number;
    /** Heartbeats in a row with another digest before the members are compared. */
    readonly digestMismatchesBeforeSync: number;
}
