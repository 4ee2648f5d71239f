/** Why a request body was not read: `overloaded` when the memory for callers is exhausted. */
export type BodyFailure = "body_too_large" | "body_incomplete" | "body_timeout" | "overloaded";
