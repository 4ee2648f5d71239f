/** Shared reason for aborting on a time limit. Without a reason, each `abort()` call creates a `DOMException` with a stack trace. */
export const timerAbortReason = "time limit exceeded";
