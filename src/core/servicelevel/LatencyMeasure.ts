/** Latencies recorded per request. `short-queue` is the queue time of completed requests with short responses. */
export type LatencyMeasure = "queue" | "first-token" | "token-gap" | "total" | "short-queue";
