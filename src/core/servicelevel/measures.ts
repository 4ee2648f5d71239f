import type { Measure } from "./Measure.js";

/** All measures, in the order of reports. */
export const measures: readonly Measure[] = ["queue", "short-queue", "first-token", "token-gap", "total"];
