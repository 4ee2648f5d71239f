import type { LatencyMeasure } from "./LatencyMeasure.js";

/** All latency measures, in the order in which reports list them. */
export const latencyMeasures: readonly LatencyMeasure[] = ["queue", "short-queue", "first-token", "token-gap", "total"];
