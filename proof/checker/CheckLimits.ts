/** Limits that a history of keyed calls is judged by. */
export interface CheckLimits {
    /** Two runs of one key at least this far apart are allowed. */
    readonly retentionMs: number;
    /** Longest time from handing a claim to the log to sending under it, by the true clock. */
    readonly claimWaitMs: number;
}
