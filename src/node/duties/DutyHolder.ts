import type { HeldDuty } from "./HeldDuty.js";

/** What a task needs of the lease on the fleet's duties. */
export interface DutyHolder {
    /** The lease while this VM may act on it; undefined else. */
    getHeld(): HeldDuty | undefined;
    /** Registers a listener that is called each time this VM acquires the lease. */
    onAcquired(listener: () => void): void;
}
