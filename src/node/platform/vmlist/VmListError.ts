/** The VM list could not be read; what was read before stays in use. */
export interface VmListError {
    readonly kind: "unreachable" | "timeout" | "bad-answer";
    /** Names the remedy. */
    readonly message: string;
}
