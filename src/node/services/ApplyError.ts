/** Why a change did not take effect, or that this is not known. */
export interface ApplyError {
    readonly kind: "conflict" | "invalid" | "not-published" | "unknown";
    /** Names the remedy. */
    readonly message: string;
}
