/** The port for peers could not be opened. */
export interface PeerListenError {
    readonly kind: "listen-failed";
    /** Names the remedy. */
    readonly message: string;
}
