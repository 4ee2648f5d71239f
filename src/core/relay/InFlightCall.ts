/** A call on its way at an upstream. */
export interface InFlightCall {
    /** Time expected for reading its prompt; 0 for a plain call. */
    readonly readMs: number;
    /** Classes of urgency by which the upstream puts it behind others of its tier. */
    readonly delay: number;
    /** When its first event is expected; undefined where that shows nothing about the upstream. */
    readonly dueMs: number | undefined;
}
