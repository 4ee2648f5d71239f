import type { MembershipSettings } from "./MembershipSettings.js";

/** A crash is known to all within 2 s, and a pause of 500 ms changes nothing. */
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
