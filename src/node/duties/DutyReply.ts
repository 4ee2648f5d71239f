/**
 * Reply of the platform's API to a call of a duty. `unavailable`: there are no such upstreams to be had now (409); `rejected`: any other
 * 4xx but 429; `failed`: 429, 5xx or no reply, so that the call may be repeated.
 */
export type DutyReply = "accepted" | "unavailable" | "rejected" | "failed";
