/** Bounds on single steps of a relayed call, in milliseconds. */
export const relayLimits = {
    /** Answers to callers leave this much before the caller stops waiting, for the way back. */
    deadlineMarginMs: 15,
    /** A repeatable call without an answer is tried elsewhere after this share of its time limit. */
    attemptTimeoutShare: 0.45,
    /** A resumable stream that is silent this long is continued elsewhere; callers give up after two seconds. */
    streamIdleTimeoutMs: 1_000,
    /** An upstream that sent nothing for this long until the time limit of a call has failed; shorter limits show nothing. */
    minFailureSilenceMs: 1_000,
    /** Sends that could not even connect; each costs a connect timeout. */
    maxConnectFailures: 4,
    /** When to come back after a refusal for which no better time is known. */
    retryAfterMs: 250,
};
