import type { LeaseSettings } from "./LeaseSettings.js";

/** A crashed holder is replaced within about 10 s, which is soon enough because orders are rare. */
export const defaultLeaseSettings: LeaseSettings = {
    validMs: 9000,
    safetyMarginMs: 1000,
    checkIntervalMs: 500,
    maxOrderDelayMs: 5000,
};
