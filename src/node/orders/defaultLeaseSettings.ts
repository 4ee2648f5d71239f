import type { LeaseSettings } from "./LeaseSettings.js";

/** A holder that dies is replaced within about 10 s; orders are given seldom, so that this is soon enough. */
export const defaultLeaseSettings: LeaseSettings = {
    validMs: 9000,
    marginMs: 1000,
    stepMs: 500,
    longestOrderDelayMs: 5000,
};
