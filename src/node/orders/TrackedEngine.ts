import type { PlannedOrder } from "../../core/orders/PlannedOrder.js";
import type { EngineReport } from "../../schema/orders/EngineReport.js";

/** State that the lease holder keeps for one engine between reconciliation rounds. */
export interface TrackedEngine {
    report: EngineReport | undefined;
    /** Monotonic time at which the read that returned `report` was started; -Infinity before the first. */
    reportedMs: number;
    /** The last order whose effect has not been observed yet. */
    pending: { readonly order: PlannedOrder["order"]; readonly sentMs: number; } | undefined;
    /** Monotonic time from which a failed load may be retried, by the key of `formatPlacementKey`. */
    readonly retryAtMs: Map<string, number>;
}
