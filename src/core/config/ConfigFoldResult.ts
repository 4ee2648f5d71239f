/** Result of folding one record of the configuration stream; the same on every VM. */
export interface ConfigFoldResult {
    readonly offset: number;
    /** Undefined if the record could not be decoded. */
    readonly changeId: string | undefined;
    /** `skipped`: the record is too large, malformed or in a newer format. */
    readonly verdict: "applied" | "conflict" | "invalid" | "skipped";
    /** Reason why the change was not applied, with the corrective action; empty if it was applied. */
    readonly message: string;
}
