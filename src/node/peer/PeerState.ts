import type { PeerConnection } from "./PeerConnection.js";
import type { PeerFrame } from "./PeerFrame.js";

/** What is kept for one peer: where to dial it, its open connections, and messages that wait for a dial to end. */
export interface PeerState {
    url: string | undefined;
    isDialing: boolean;
    lastDialMs: number;
    readonly connections: PeerConnection[];
    queuedFrames: PeerFrame[];
}
