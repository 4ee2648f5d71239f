/** The port for peer connections could not be opened. */
export interface PeerListenError {
    readonly kind: "listen-failed";
    /** Describes the failure and its remedy. */
    readonly message: string;
}
