import type { DutyLease } from "./DutyLease.js";
import type { UsageLease } from "./UsageLease.js";

/**
 * The lease as usage reports need it. Where the lease knows of no other epoch, none has been seen since the store began: a holder hands on
 * what it knows in its record, and a later epoch without such a record counts as seen just now.
 */
export function toUsageLease(lease: DutyLease): UsageLease {
    return {
        getHeld: () => lease.getHeld(),
        appendWithRenewal: (records, signal) => lease.appendWithRenewal(records, signal),
        onAcquired: listener => {
            lease.onAcquired(listener);
        },
        get records() {
            return lease.records;
        },
        get firstSeenEpochMs() {
            return lease.firstSeenEpochMs ?? -Infinity;
        },
    };
}
