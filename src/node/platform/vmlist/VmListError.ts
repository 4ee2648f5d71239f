/** Why the VM list could not be read; the last list that was read stays in use. */
export interface VmListError {
    readonly kind: "unreachable" | "timeout" | "bad-answer";
    /** Describes the failure and its remedy. */
    readonly message: string;
}
