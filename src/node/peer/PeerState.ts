import type { PeerConnection } from "./PeerConnection.js";
import type { PeerFrame } from "./PeerFrame.js";

/** State of one peer: its URL, its open connections, and the frames queued until a dial ends. */
export interface PeerState {
    url: string | undefined;
    /** The dialed connection whose handshake is not complete. */
    dialingConnection: PeerConnection | undefined;
    lastDialMs: number;
    readonly connections: PeerConnection[];
    queuedFrames: PeerFrame[];
}
