interface AlertRule {
    readonly severity: "fast" | "slow";
    readonly longWindowMs: number;
    readonly shortWindowMs: number;
    readonly threshold: number;
}

const minuteMs = 60_000;
const hourMs = 60 * minuteMs;
const dayMs = 24 * hourMs;

/**
 * Multi-window burn-rate alerts. An alert fires while the burn rates of both windows are at or above the threshold: the long window shows
 * that the spend is significant, the short one that it is still going on. At these thresholds, 2% of a 30-day error budget is spent in
 * one hour, 5% in six hours and 10% in three days.
 */
export const alertRules: readonly AlertRule[] = [
    { severity: "fast", longWindowMs: hourMs, shortWindowMs: 5 * minuteMs, threshold: 14.4 },
    { severity: "fast", longWindowMs: 6 * hourMs, shortWindowMs: 30 * minuteMs, threshold: 6 },
    { severity: "slow", longWindowMs: 3 * dayMs, shortWindowMs: 6 * hourMs, threshold: 1 },
];
