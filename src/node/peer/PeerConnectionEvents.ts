import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import type { PeerConnection } from "./PeerConnection.js";

/** What a connection tells the task that owns it. */
export interface PeerConnectionEvents {
    /** Generation for a new connection dialled to `vm`. */
    nextGeneration(vm: string): number;
    onOpen(connection: PeerConnection): void;
    onMessage(connection: PeerConnection, message: PeerMessage): void;
    onRequest(connection: PeerConnection, id: number, message: PeerMessage): void;
    onReply(id: number, message: PeerMessage): void;
    /** Called once; `reason` is a short sentence for the log. */
    onClosed(connection: PeerConnection, reason: string): void;
}
