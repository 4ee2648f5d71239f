const minuteMs = 60_000;
const hourMs = 60 * minuteMs;
const dayMs = 24 * hourMs;

/** Windows over which burn rates are reported. */
export const burnRateWindowsMs: readonly number[] = [5 * minuteMs, 30 * minuteMs, hourMs, 6 * hourMs, 3 * dayMs];
