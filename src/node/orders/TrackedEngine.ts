import type { PlannedOrder } from "../../core/orders/PlannedOrder.js";
import type { EngineReport } from "../../schema/orders/EngineReport.js";

/** What the holder remembers of one engine between two rounds. */
export interface TrackedEngine {
    report: EngineReport | undefined;
    reportedMs: number;
    /** The last order whose effect has not shown yet. */
    pending: { readonly order: PlannedOrder["order"]; readonly sentMs: number; } | undefined;
    /** When a load that failed may be tried again, by `placementKey`. */
    readonly retryAtMs: Map<string, number>;
}
