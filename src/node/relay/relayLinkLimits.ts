import { defaultPeerLinkLimits } from "../peer/defaultPeerLinkLimits.js";
import type { PeerLinkLimits } from "../peer/PeerLinkLimits.js";

/** Limits of the links between VMs that relay calls. */
export const relayLinkLimits: PeerLinkLimits = {
    ...defaultPeerLinkLimits,
    // Small VMs that all start at once answer handshakes late. Shorter timeouts make them redial, which takes more time than it saves: 32
    // VMs on a busy machine kept redialling each other.
    handshakeTimeoutMs: 2_000,
    redialAfterMs: 1_000,
    pingAfterMs: 900,
    silentAfterMs: 1_400,
    checkPeriodMs: 200,
    // A link in use carries a heartbeat, a load report or log records each second; links used only for discovery are closed after this.
    idleAfterMs: 5_000,
    // Compresses only frames such as configurations, which one VM sends to all others. When 80 VMs started together, setting up and running
    // compression of all frames took a fifth of the time.
    compressFromBytes: 4_096,
};
