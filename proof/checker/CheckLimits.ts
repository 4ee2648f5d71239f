/** Time limits for the checks on a history of keyed calls. */
export interface CheckLimits {
    /** Minimum interval between two permitted runs of a key. */
    readonly retentionMs: number;
    /** Longest time from appending a claim to sending under it, by the simulated clock of the fleet. */
    readonly claimWaitMs: number;
}
