/** Why a VM did not start; the message names the remedy. */
export interface VmStartError {
    readonly kind: "not-listening" | "unreadable";
    readonly message: string;
}
