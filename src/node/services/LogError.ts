/** `not-appended`: surely not in the log; `unknown`: may have landed; `forgotten`: the offset is older than the log's first record. */
export interface LogError {
    readonly kind: "not-appended" | "unknown" | "unavailable" | "forgotten";
    /** First offset that the log still holds, with `forgotten`. */
    readonly firstOffset: number | undefined;
    readonly message: string;
}
