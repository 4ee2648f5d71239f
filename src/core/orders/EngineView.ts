import type { EngineReport } from "../../schema/orders/EngineReport.js";

/** State of one engine of a pool, as input to the order planner. */
export interface EngineView {
    readonly id: string;
    readonly availabilityZone: string;
    readonly isLeaving: boolean;
    /** The last report; undefined if none has been received. */
    readonly report: EngineReport | undefined;
    /** An engine without a recent report keeps its placement and gets no orders. */
    readonly hasRecentReport: boolean;
    /** Whether an order was sent whose effect is not yet visible in a report. */
    readonly hasPendingOrder: boolean;
    /** Placement keys (see `formatPlacementKey`) whose load failed and is not due for a retry yet. */
    readonly failedPlacementKeys: ReadonlySet<string>;
}
