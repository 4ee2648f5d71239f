/** Why a VM did not start. The message says how to correct it. */
export interface VmStartError {
    readonly kind: "not-listening" | "unreadable";
    readonly message: string;
}
