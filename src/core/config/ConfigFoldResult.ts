/** What the fold did with one record of the configuration stream. The same on every VM. */
export interface ConfigFoldResult {
    readonly offset: number;
    /** Undefined when the record could not be read. */
    readonly changeId: string | undefined;
    /** `skipped`: malformed, or of a newer format. */
    readonly verdict: "applied" | "conflict" | "invalid" | "skipped";
    /** Why the change was not applied, with the remedy; empty when it was. */
    readonly message: string;
}
