/** Speed of an engine relative to the median engine of its service: below, within or above the band in which engines count as alike. */
export type SpeedClass = "slow" | "normal" | "fast";
