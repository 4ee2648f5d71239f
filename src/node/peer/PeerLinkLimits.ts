/** Limits on the resources that peers can use on this VM, and timeouts of connections. */
export interface PeerLinkLimits {
    /** Maximum size of a received frame; a larger one closes the connection. */
    readonly maxFrameBytes: number;
    /** Maximum size of the send buffer of one connection; while it is exceeded, messages are dropped. */
    readonly maxSendBufferBytes: number;
    /** Smaller frames are sent uncompressed, as compressing a frame takes more processor time than encoding it. 0 compresses all frames. */
    readonly compressFromBytes: number;
    /** Maximum number of accepted connections whose handshake is not complete. */
    readonly maxUnauthenticatedConnections: number;
    readonly handshakeTimeoutMs: number;
    /** Period at which connections are checked for silence and idleness. */
    readonly checkPeriodMs: number;
    /** A connection on which nothing was received for this long is pinged. */
    readonly pingAfterMs: number;
    /** A connection on which nothing was received for this long is silent: a replacement is dialed while it stays open. */
    readonly silentAfterMs: number;
    /** A connection on which nothing was received for this long is closed. */
    readonly closeAfterMs: number;
    /** A connection that carried only pings and pongs for this long is closed. */
    readonly idleAfterMs: number;
    /** Minimum time between two attempts to dial the same peer. */
    readonly redialAfterMs: number;
}
