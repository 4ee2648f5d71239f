/** Limits on the steps of a relayed call. */
export const relayLimits = {
    /** A call's deadline lies this much before the caller stops waiting, so that the response still reaches it. */
    deadlineMarginMs: 15,
    /** A repeatable call without a response head is sent to another upstream too after this share of the route's timeout. */
    attemptTimeoutShare: 0.45,
    /** A resumable stream that is idle for this long is offered to another upstream; callers give up after two seconds. */
    streamIdleTimeoutMs: 1_000,
    /** An upstream that has been sent a call and has not refused it within this time has taken it. */
    refusalTimeoutMs: 250,
    refusalCheckIntervalMs: 25,
    /** An upstream that sent nothing for at least this long before a call's deadline counts as failed; a shorter silence is no sign of a fault. */
    minFailureSilenceMs: 1_000,
    /** Longest time and largest size for which the body of a refusal is read, so that its connection can be reused. */
    refusalBodyTimeoutMs: 250,
    refusalBodyBytes: 64 * 1024,
    /** Maximum number of attempts of one call that do not reach the intended upstream; each may cost a connect timeout. */
    maxUndeliveredAttempts: 4,
    /** Retry delay in refusals for which no better value is known. */
    retryAfterMs: 250,
};
