/** Why a configuration change did not take effect; with `unknown` it may have taken effect or may still take effect. */
export interface ApplyError {
    readonly kind: "conflict" | "invalid" | "not-published" | "unknown";
    /** Says what the operator should do next. */
    readonly message: string;
}
