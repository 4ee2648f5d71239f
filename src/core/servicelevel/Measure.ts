/** What is measured of each request. */
export type Measure = "queue" | "first-token" | "token-gap" | "total" | "short-queue";
