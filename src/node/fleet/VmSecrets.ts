/** The secrets of a VM, read from the sources given in its settings. */
export interface VmSecrets {
    /** Shared key that authenticates peer links. */
    readonly peerKey: string;
    /** Bearer token that operator RPCs must present. */
    readonly operatorToken: string;
}
