/** Timing of the membership protocol. */
export interface MembershipSettings {
    /** Interval at which `MembershipTable.tick` is called. */
    readonly tickMs: number;
    readonly heartbeatIntervalMs: number;
    /** Time without contact after which a watched VM is probed through other VMs. */
    readonly suspectAfterMs: number;
    /** Time without direct or indirect contact after which a watched VM is declared gone. */
    readonly goneAfterMs: number;
    /** Minimum time between two rounds of probes for the same VM or zone. */
    readonly probeIntervalMs: number;
    /** Tombstones of this age or older are verified before they are accepted, unless the VM itself sent them. */
    readonly maxTrustedTombstoneAgeMs: number;
    /** How long tombstones are kept. Until then the VMs are dialled from time to time, in case they were only partitioned. */
    readonly tombstoneRetentionMs: number;
    /** How long a VM that was declared gone, and that the platform does not list, counts as possibly alive. */
    readonly possiblyAliveMs: number;
    /**
     * Minimum time between two selections of neighbours, unless a neighbour is gone. While a fleet starts, a selection for each VM that
     * joins would open links that the next selection drops again.
     */
    readonly minNeighbourSelectionIntervalMs: number;
    /** Minimum time between two member syncs (anti-entropy) that the local VM starts with the same VM. */
    readonly minSyncIntervalMs: number;
    /** Consecutive heartbeats with a different digest after which a member sync is started. */
    readonly digestMismatchesBeforeSync: number;
}
