import type { LeaseSettings } from "./LeaseSettings.js";

/** A holder that dies is replaced within about 10 s; orders are given seldom, so that this is soon enough. */
export const defaultLeaseSettings: LeaseSettings = {
    validMs: 9000,
    safetyMarginMs: 1000,
    stepMs: 500,
    maxOrderDelayMs: 5000,
};
