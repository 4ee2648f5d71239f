import type { ResultAsync } from "neverthrow";
import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import type { PeerError } from "./PeerError.js";

/** Authenticated links to the other VMs. Delivery is at most once and in order per link incarnation. */
export interface PeerLinks {
    /** Sends without waiting; false when no link is up. */
    send(vm: string, message: PeerMessage): boolean;
    /** Sends and waits for the peer's reply. */
    request(vm: string, message: PeerMessage, timeoutMs: number, signal: AbortSignal): ResultAsync<PeerMessage, PeerError>;
    /** Registers the handler of one message type; a returned message is the reply to a request. */
    onMessage<T extends PeerMessage["type"]>(
        type: T,
        handler: (from: string, message: Extract<PeerMessage, { type: T; }>) => PeerMessage | undefined | Promise<PeerMessage | undefined>,
        signal: AbortSignal,
    ): void;
}
