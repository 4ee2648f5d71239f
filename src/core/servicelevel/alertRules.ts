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
 * An alert fires while both of its windows burn at or above the threshold: the long one shows that it matters, the short one
 * that it still goes on. For a budget of 30 days the thresholds spend 2% in one hour, 5% in six hours and 10% in three days.
 */
export const alertRules: readonly AlertRule[] = [
    { severity: "fast", longWindowMs: hourMs, shortWindowMs: 5 * minuteMs, threshold: 14.4 },
    { severity: "fast", longWindowMs: 6 * hourMs, shortWindowMs: 30 * minuteMs, threshold: 6 },
    { severity: "slow", longWindowMs: 3 * dayMs, shortWindowMs: 6 * hourMs, threshold: 1 },
];
