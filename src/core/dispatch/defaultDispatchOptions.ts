import type { DispatchOptions } from "./DispatchOptions.js";

/** Settings that suit both deployments of today. */
export const defaultDispatchOptions: DispatchOptions = {
    grantIdPrefix: "grant",
    order: "slack",
    maxWaiting: 20_000,
    shortSlotShare: 0.25,
    longWorkMs: 4_000,
    pausedSlots: 16,
    gapBudgetShare: 0.4,
    preemption: true,
    moving: true,
    wasteShare: 0.01,
    hedgeShare: 0,
    health: true,
    zoneHopMs: 0.5,
    zoneRiskScaleMs: 10_000,
    staleGrantMs: 30_000,
};
