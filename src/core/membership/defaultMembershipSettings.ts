import type { MembershipSettings } from "./MembershipSettings.js";

/** A crash is known to all within 2 s, and a pause of 500 ms changes nothing. */
export const defaultMembershipSettings: MembershipSettings = {
    tickMs: 100,
    heartbeatMs: 400,
    suspectAfterMs: 800,
    goneAfterMs: 1400,
    probeMs: 300,
    freshStatementMs: 1000,
    rememberGoneMs: 600_000,
    possiblyAliveMs: 30_000,
    settleMs: 0,
    syncMs: 3000,
    mismatchesBeforeSync: 3,
};
