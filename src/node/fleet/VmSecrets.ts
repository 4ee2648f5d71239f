/** The secrets of a VM, read from the sources that its settings name. */
export interface VmSecrets {
    /** Shared key of the peer links. */
    readonly peerKey: string;
    /** Bearer token of the operator RPC. */
    readonly operatorToken: string;
}
