/**
 * Why a call to the log failed. `not-appended`: the record is certainly not in the log; `unknown`: the record may be in the log or may
 * still be written; `unavailable`: the log could not be read; `forgotten`: the offset is older than the log's first record.
 */
export interface LogError {
    readonly kind: "not-appended" | "unknown" | "unavailable" | "forgotten";
    /** First offset that the log still holds; set with `forgotten`. */
    readonly firstOffset: number | undefined;
    readonly message: string;
}
