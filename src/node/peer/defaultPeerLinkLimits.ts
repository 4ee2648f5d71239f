import type { PeerLinkLimits } from "./PeerLinkLimits.js";

/** Default limits, for availability zones that are a few milliseconds apart. */
export const defaultPeerLinkLimits: PeerLinkLimits = {
    maxFrameBytes: 4 * 1024 * 1024,
    maxSendBufferBytes: 8 * 1024 * 1024,
    compressFromBytes: 0,
    maxUnauthenticatedConnections: 64,
    handshakeTimeoutMs: 600,
    checkPeriodMs: 100,
    pingAfterMs: 600,
    silentAfterMs: 900,
    closeAfterMs: 5000,
    idleAfterMs: 60_000,
    redialAfterMs: 400,
};
