import type { DispatchOptions } from "./DispatchOptions.js";

/** Default dispatcher settings. */
export const defaultDispatchOptions: DispatchOptions = {
    grantIdPrefix: "grant",
    order: "slack",
    maxWaitingTickets: 20_000,
    reservedShortSlotShare: 0.25,
    longRequestThresholdMs: 4_000,
    maxOversubscribedRequests: 16,
    gapBudgetShare: 0.4,
    isPreemptionEnabled: true,
    isMigrationEnabled: true,
    recomputeShare: 0.01,
    hedgeShare: 0,
    isOutlierDetectionEnabled: true,
    crossZoneLatencyMs: 0.5,
    crossZoneRiskScaleMs: 10_000,
    grantIdleTimeoutMs: 30_000,
};
