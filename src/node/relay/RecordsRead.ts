/** How a VM came by records of a keyed log. */
export interface RecordsRead {
    /** Whether the records are the newest ones of all keys, and not changes. */
    readonly isWhole: boolean;
    /**
     * Whether they are the first newest ones since the log was restored from a copy: entries that were written shortly before that may be missing or
     * older than what is known.
     */
    readonly isRestored: boolean;
    /** Whether another VM has read and applied the records, and forwarded them. */
    readonly isForwarded: boolean;
    /** A time before which none of the records was written. */
    readonly writtenAfterMs: number;
}
