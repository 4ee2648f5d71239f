/** A call in flight on an upstream. */
export interface InFlightCall {
    /** Expected prefill time of its prompt; 0 for a plain call. */
    readonly readMs: number;
    /** Priority offset: the number of levels by which the upstream schedules it behind others of its tier. */
    readonly delay: number;
    /** When its first event counts as overdue; undefined where a late first event says nothing about the upstream. */
    readonly dueMs: number | undefined;
}
