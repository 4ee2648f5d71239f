/** The port for peer connections could not be opened. */
export interface PeerListenError {
    readonly kind: "listen-failed";
    /** Says what failed and how to fix it. */
    readonly message: string;
}
