import type { ResultAsync } from "neverthrow";
import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import type { PeerError } from "./PeerError.js";

/** Authenticated links to the other VMs. Messages are delivered at most once, and in order within each connection of a link. */
export interface PeerLinks {
    /** Sends without waiting; returns false when no link is up. */
    send(vm: string, message: PeerMessage): boolean;
    /** Sends a request and waits up to `timeoutMs` for the peer's reply. */
    request(vm: string, message: PeerMessage, timeoutMs: number, signal: AbortSignal): ResultAsync<PeerMessage, PeerError>;
    /** Registers the handler of one message type until `signal` aborts. The message it returns is the reply to a request. */
    onMessage<T extends PeerMessage["type"]>(
        type: T,
        handler: (from: string, message: Extract<PeerMessage, { type: T; }>) => PeerMessage | undefined | Promise<PeerMessage | undefined>,
        signal: AbortSignal,
    ): void;
}
