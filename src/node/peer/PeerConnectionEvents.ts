import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import type { PeerConnection } from "./PeerConnection.js";

/** Callbacks from a connection to its owner. */
export interface PeerConnectionEvents {
    /** Returns the generation for a new connection dialed to `vm`. */
    nextGeneration(vm: string): number;
    onOpen(connection: PeerConnection): void;
    onMessage(connection: PeerConnection, message: PeerMessage): void;
    onRequest(connection: PeerConnection, id: number, message: PeerMessage): void;
    onReply(id: number, message: PeerMessage): void;
    /** Called once per connection; `reason` is a short text for the log. */
    onClosed(connection: PeerConnection, reason: string): void;
}
