/** A call in flight on an upstream. */
export interface InFlightCall {
    /** Expected prefill time of its prompt; 0 for a call without a prompt. */
    readonly readMs: number;
    /** Priority offset: the number of levels by which the upstream schedules it behind others of its tier. */
    readonly delay: number;
    /** When its first event counts as overdue; undefined when a late first event does not indicate a slow upstream. */
    readonly dueMs: number | undefined;
}
