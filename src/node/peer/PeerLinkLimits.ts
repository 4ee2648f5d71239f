/** Bounds on what a peer may make this VM hold, and how fast silence is noticed. */
export interface PeerLinkLimits {
    /** Largest frame read; a larger one closes the connection. */
    readonly maxFrameBytes: number;
    /** Most bytes waiting to be sent on one connection; messages beyond it are dropped. */
    readonly maxSendBufferBytes: number;
    /** Smaller frames are sent as they are; compressing one takes more processor time than encoding it. */
    readonly compressFromBytes: number;
    /** Most connections that have not proved themselves yet. */
    readonly maxUnauthenticatedConnections: number;
    readonly handshakeTimeoutMs: number;
    /** How often connections are looked at. */
    readonly checkPeriodMs: number;
    /** A connection on which nothing was heard for this long is pinged. */
    readonly pingAfterMs: number;
    /** A connection on which nothing was heard for this long is replaced by a new one beside it. */
    readonly silentAfterMs: number;
    /** A connection on which nothing was heard for this long is closed. */
    readonly closeAfterMs: number;
    /** A connection that carried no message of a task for this long is closed. */
    readonly idleAfterMs: number;
    /** Least time between two attempts to dial one peer. */
    readonly redialAfterMs: number;
}
