import type { EngineReport } from "../../schema/orders/EngineReport.js";

/** One engine of a pool as the planner sees it. */
export interface EngineView {
    readonly id: string;
    readonly availabilityZone: string;
    readonly isLeaving: boolean;
    /** The last report; undefined when there never was one. */
    readonly report: EngineReport | undefined;
    /** The last report is recent. An engine that is not reached keeps what it had and gets no order. */
    readonly hasRecentReport: boolean;
    /** An order was sent whose effect has not shown yet. */
    readonly hasPendingOrder: boolean;
    /** Loads that failed lately, as `placementKey`s, which are not tried again yet. */
    readonly failedLoads: ReadonlySet<string>;
}
