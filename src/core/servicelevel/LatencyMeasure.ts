/** What is measured of each request. */
export type LatencyMeasure = "queue" | "first-token" | "token-gap" | "total" | "short-queue";
