import type { LatencyMeasure } from "./LatencyMeasure.js";

/** All measures, in the order of reports. */
export const latencyMeasures: readonly LatencyMeasure[] = ["queue", "short-queue", "first-token", "token-gap", "total"];
