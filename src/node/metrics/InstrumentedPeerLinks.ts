import type { ResultAsync } from "neverthrow";
import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import type { PeerError } from "../services/PeerError.js";
import type { PeerLinks } from "../services/PeerLinks.js";
import type { Metrics } from "./Metrics.js";

type Handler<T extends PeerMessage["type"]> = (
    from: string,
    message: Extract<PeerMessage, { type: T; }>,
) => PeerMessage | undefined | Promise<PeerMessage | undefined>;

/** Peer links that count messages by type and record the elapsed time of `send` and of handlers as their CPU time. */
export class InstrumentedPeerLinks implements PeerLinks {
    constructor(private readonly links: PeerLinks, private readonly metrics: Metrics) {}

    send(vm: string, message: PeerMessage): boolean {
        const startedMs = performance.now();
        const isSent = this.links.send(vm, message);
        this.metrics.recordControlMessage(message.type, "sent", performance.now() - startedMs);
        return isSent;
    }

    request(vm: string, message: PeerMessage, timeoutMs: number, signal: AbortSignal): ResultAsync<PeerMessage, PeerError> {
        this.metrics.recordControlMessage(message.type, "sent", 0);
        return this.links.request(vm, message, timeoutMs, signal);
    }

    /** Only the synchronous part of a handler, before its first `await`, is included in its recorded time. */
    onMessage<T extends PeerMessage["type"]>(type: T, handler: Handler<T>, signal: AbortSignal): void {
        this.links.onMessage(type, (from, message) => {
            const startedMs = performance.now();
            const reply = handler(from, message);
            this.metrics.recordControlMessage(type, "received", performance.now() - startedMs);
            return reply;
        }, signal);
    }
}
