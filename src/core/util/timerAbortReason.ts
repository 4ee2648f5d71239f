/** Reason for ending a time limit by its `AbortController`. Without one each `abort` builds an exception with a stack trace. */
export const timerAbortReason = "the limit has ended";
