/** Length of the sliding window of the per-minute customer limits. */
export const quotaWindowSeconds = 60;
