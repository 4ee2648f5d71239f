import type { MembershipSettings } from "./MembershipSettings.js";

/** With these settings a crash is known to all VMs within 2 s, and a VM that pauses for 500 ms is not declared gone. */
export const defaultMembershipSettings: MembershipSettings = {
    tickMs: 100,
    heartbeatIntervalMs: 400,
    suspectAfterMs: 800,
    goneAfterMs: 1400,
    probeIntervalMs: 300,
    maxTrustedTombstoneAgeMs: 1000,
    tombstoneRetentionMs: 600_000,
    possiblyAliveMs: 30_000,
    minNeighbourSelectionIntervalMs: 0,
    minSyncIntervalMs: 3000,
    digestMismatchesBeforeSync: 3,
};
