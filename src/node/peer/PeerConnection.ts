import { randomBytes } from "node:crypto";
import type { RawData, WebSocket } from "ws";
import type * as z from "zod";
import type { Scheduler } from "../../core/util/Scheduler.js";
import { PeerHello } from "../../schema/peer/PeerHello.js";
import { PeerHelloAnswer } from "../../schema/peer/PeerHelloAnswer.js";
import { peerProtocolVersion } from "../../schema/peer/peerProtocolVersion.js";
import { PeerWelcome } from "../../schema/peer/PeerWelcome.js";
import { computePeerProof } from "./computePeerProof.js";
import { isEqualProof } from "./isEqualProof.js";
import { PeerCodec } from "./PeerCodec.js";
import type { PeerConnectionEvents } from "./PeerConnectionEvents.js";
import type { PeerFrame } from "./PeerFrame.js";
import type { PeerIdentity } from "./PeerIdentity.js";
import type { PeerLinkLimits } from "./PeerLinkLimits.js";

const maxHandshakeFrameBytes = 2048;

/** What a connection needs to know of the VM that it belongs to. */
interface PeerConnectionContext {
    readonly self: PeerIdentity;
    readonly sharedKey: string;
    readonly limits: PeerLinkLimits;
    readonly scheduler: Scheduler;
    readonly events: PeerConnectionEvents;
}

/**
 * One WebSocket to a peer: the handshake, then frames. The VM that was dialled speaks first (`PeerHello`), the dialler answers with its
 * proof, and the other end proves itself in turn (`PeerWelcome`). Either end closes the connection at the first thing that is wrong.
 */
export class PeerConnection {
    /** The peer, once it has introduced itself. */
    peer: PeerIdentity | undefined;
    generation = 0;
    isOpen = false;
    lastHeardMs: number;
    /** When a task last sent or received a message here. */
    lastUsedMs: number;
    /** When the peer last said that it hears nothing here. */
    private lastUnheardMs = -Infinity;
    private lastPingMs = 0;
    private expectedWelcome = "";
    private isClosed = false;
    private readonly codec = new PeerCodec();
    private readonly hello: PeerHello;
    private readonly closing = new AbortController();

    constructor(
        private readonly socket: WebSocket,
        readonly role: "dialer" | "acceptor",
        private readonly context: PeerConnectionContext,
    ) {
        this.lastHeardMs = context.scheduler.nowMs();
        this.lastUsedMs = this.lastHeardMs;
        this.hello = {
            protocolVersion: peerProtocolVersion,
            vm: context.self.vm,
            incarnation: context.self.incarnation,
            nonce: randomBytes(16).toString("hex"),
        };
        socket.on("message", (data, isBinary) => {
            this.receive(data, isBinary);
        });
        socket.on("close", () => {
            this.close("the peer closed the connection");
        });
        socket.on("error", error => {
            this.close(error.message);
        });
        const giveUp = () => {
            if (!this.isOpen) {
                this.close("the handshake took too long");
            }
        };
        context.scheduler.after(context.limits.handshakeTimeoutMs, giveUp, this.closing.signal);
        if (role === "acceptor") {
            socket.send(JSON.stringify(this.hello));
        }
    }

    /** False when the connection is not open or its send buffer is full. */
    send(frame: PeerFrame): boolean {
        if (!this.isOpen || this.socket.bufferedAmount > this.context.limits.maxSendBufferBytes) {
            return false;
        }
        if (frame.kind !== "ping" && frame.kind !== "pong") {
            this.lastUsedMs = this.context.scheduler.nowMs();
        }
        const bytes = this.codec.encode(frame);
        this.socket.send(bytes, { compress: bytes.length >= this.context.limits.compressFromBytes });
        return true;
    }

    /** Pings the peer when nothing was heard for a while; at most one ping each `pingAfterMs`. */
    pingIfDue(nowMs: number): void {
        const { pingAfterMs } = this.context.limits;
        const quietMs = nowMs - this.lastHeardMs;
        if (quietMs >= pingAfterMs && nowMs - this.lastPingMs >= pingAfterMs) {
            this.lastPingMs = nowMs;
            this.send({ kind: "ping", receiveSilenceMs: Math.round(quietMs) });
        }
    }

    /** True when nothing was heard for a while, or the peer hears nothing: bytes are lost one way or both. */
    isSilent(nowMs: number): boolean {
        const { silentAfterMs } = this.context.limits;
        return nowMs - this.lastHeardMs > silentAfterMs || nowMs - this.lastUnheardMs < silentAfterMs;
    }

    close(reason: string): void {
        if (this.isClosed) {
            return;
        }
        this.isClosed = true;
        this.isOpen = false;
        this.closing.abort();
        this.socket.terminate();
        this.context.events.onClosed(this, reason);
    }

    private receive(data: RawData, isBinary: boolean): void {
        if (this.isClosed) {
            return;
        }
        const bytes = data as Buffer;
        this.lastHeardMs = this.context.scheduler.nowMs();
        if (!this.isOpen) {
            this.receiveHandshake(bytes);
        }
        else if (!isBinary) {
            this.close("a text frame came after the handshake");
        }
        else {
            this.receiveFrame(bytes);
        }
    }

    private receiveHandshake(bytes: Buffer): void {
        if (bytes.length > maxHandshakeFrameBytes) {
            this.close("a handshake frame is too large");
        }
        else if (this.role === "acceptor") {
            this.receiveHelloAnswer(bytes);
        }
        else if (this.peer === undefined) {
            this.receiveHello(bytes);
        }
        else {
            this.receiveWelcome(bytes);
        }
    }

    /** The dialler learns whom it reached and proves itself. */
    private receiveHello(bytes: Buffer): void {
        const hello = this.parse(PeerHello, bytes);
        if (hello === undefined || !this.isAcceptablePeer(hello)) {
            return;
        }
        this.peer = { vm: hello.vm, incarnation: hello.incarnation };
        this.generation = this.context.events.nextGeneration(hello.vm);
        this.expectedWelcome = computePeerProof(this.context.sharedKey, "acceptor", this.hello, hello);
        const proof = computePeerProof(this.context.sharedKey, "dialer", this.hello, hello);
        const answer: PeerHelloAnswer = { ...this.hello, generation: this.generation, proof };
        this.socket.send(JSON.stringify(answer));
    }

    private receiveWelcome(bytes: Buffer): void {
        const welcome = this.parse(PeerWelcome, bytes);
        if (welcome === undefined) {
            return;
        }
        if (!isEqualProof(welcome.proof, this.expectedWelcome)) {
            this.close("the peer does not hold the shared key; check peer.sharedKey on both VMs");
            return;
        }
        this.open();
    }

    private receiveHelloAnswer(bytes: Buffer): void {
        const answer = this.parse(PeerHelloAnswer, bytes);
        if (answer === undefined || !this.isAcceptablePeer(answer)) {
            return;
        }
        if (!isEqualProof(answer.proof, computePeerProof(this.context.sharedKey, "dialer", answer, this.hello))) {
            this.close("the peer does not hold the shared key; check peer.sharedKey on both VMs");
            return;
        }
        this.peer = { vm: answer.vm, incarnation: answer.incarnation };
        this.generation = answer.generation;
        const welcome: PeerWelcome = { proof: computePeerProof(this.context.sharedKey, "acceptor", answer, this.hello) };
        this.socket.send(JSON.stringify(welcome));
        this.open();
    }

    private open(): void {
        this.isOpen = true;
        this.context.events.onOpen(this);
    }

    private isAcceptablePeer(hello: PeerHello): boolean {
        if (hello.protocolVersion !== peerProtocolVersion) {
            this.close(`the peer speaks protocol version ${hello.protocolVersion}, this VM ${peerProtocolVersion}; upgrade the older one`);
            return false;
        }
        if (hello.vm === this.context.self.vm && hello.incarnation === this.context.self.incarnation) {
            this.close("this VM reached itself");
            return false;
        }
        return true;
    }

    private parse<T>(schema: z.ZodType<T>, bytes: Buffer): T | undefined {
        let value: unknown;
        try {
            value = JSON.parse(bytes.toString("utf8"));
        }
        catch {
            this.close("a handshake frame is not JSON");
            return undefined;
        }
        const parsed = schema.safeParse(value);
        if (!parsed.success) {
            this.close("a handshake frame does not fit the schema; the peer may run an older version");
            return undefined;
        }
        return parsed.data;
    }

    private receiveFrame(bytes: Buffer): void {
        const decoded = this.codec.decode(bytes);
        if (decoded.isErr()) {
            this.close(decoded.error);
            return;
        }
        this.receiveDecoded(decoded.value);
    }

    private receiveDecoded(frame: PeerFrame): void {
        const { events } = this.context;
        switch (frame.kind) {
            case "ping":
                if (frame.receiveSilenceMs >= this.context.limits.silentAfterMs) {
                    this.lastUnheardMs = this.lastHeardMs;
                }
                this.send({ kind: "pong" });
                return;
            case "pong":
                return;
            case "message":
                this.lastUsedMs = this.lastHeardMs;
                events.onMessage(this, frame.message);
                return;
            case "request":
                this.lastUsedMs = this.lastHeardMs;
                events.onRequest(this, frame.id, frame.message);
                return;
            case "reply":
                this.lastUsedMs = this.lastHeardMs;
                events.onReply(frame.id, frame.message);
                return;
        }
    }
}
