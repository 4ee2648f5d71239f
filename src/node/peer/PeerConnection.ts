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

/** What a connection needs from the VM that owns it. */
interface PeerConnectionContext {
    readonly self: PeerIdentity;
    readonly sharedKey: string;
    readonly limits: PeerLinkLimits;
    readonly scheduler: Scheduler;
    readonly events: PeerConnectionEvents;
}

/**
 * One WebSocket connection to a peer: a handshake, then frames. In the handshake, the acceptor sends `PeerHello`, the dialer replies with
 * `PeerHelloAnswer` and its proof, and the acceptor sends its own proof in `PeerWelcome`. Either end closes the connection on the first
 * invalid frame.
 */
export class PeerConnection {
    /** The peer's identity; on the dialer it is set before the peer's proof is verified. */
    peer: PeerIdentity | undefined;
    generation = 0;
    isOpen = false;
    lastReceivedAtMs: number;
    /** When a frame other than a ping or pong was last sent or received. */
    lastUsedMs: number;
    /** When the peer last reported in a ping that it receives nothing on this connection. */
    private lastSilenceReportMs = -Infinity;
    private lastPingMs = 0;
    private expectedWelcomeProof = "";
    private isClosed = false;
    private readonly codec = new PeerCodec();
    private readonly ownHello: PeerHello;
    private readonly closeController = new AbortController();

    constructor(
        private readonly socket: WebSocket,
        readonly role: "dialer" | "acceptor",
        private readonly context: PeerConnectionContext,
    ) {
        this.lastReceivedAtMs = context.scheduler.nowMs();
        this.lastUsedMs = this.lastReceivedAtMs;
        this.ownHello = {
            protocolVersion: peerProtocolVersion,
            vm: context.self.vm,
            incarnation: context.self.incarnation,
            nonce: randomBytes(16).toString("hex"),
        };
        socket.on("message", (data, isBinary) => {
            this.receive(data, isBinary);
        });
        socket.on("close", () => {
            this.close("closed by the peer");
        });
        socket.on("error", error => {
            this.close(error.message);
        });
        const closeUnlessOpen = () => {
            if (!this.isOpen) {
                this.close("handshake timed out");
            }
        };
        context.scheduler.after(context.limits.handshakeTimeoutMs, closeUnlessOpen, this.closeController.signal);
        if (role === "acceptor") {
            socket.send(JSON.stringify(this.ownHello));
        }
    }

    /** Sends a frame; returns false if the connection is not open or its send buffer is full. */
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

    /** Pings the peer if nothing was received for `pingAfterMs`, at most once per `pingAfterMs`. */
    pingIfDue(nowMs: number): void {
        const { pingAfterMs } = this.context.limits;
        const receiveSilenceMs = nowMs - this.lastReceivedAtMs;
        if (receiveSilenceMs >= pingAfterMs && nowMs - this.lastPingMs >= pingAfterMs) {
            this.lastPingMs = nowMs;
            this.send({ kind: "ping", receiveSilenceMs: Math.round(receiveSilenceMs) });
        }
    }

    /** True if nothing was received for `silentAfterMs` or the peer reports the same: bytes are lost in at least one direction. */
    isSilent(nowMs: number): boolean {
        const { silentAfterMs } = this.context.limits;
        return nowMs - this.lastReceivedAtMs > silentAfterMs || nowMs - this.lastSilenceReportMs < silentAfterMs;
    }

    close(reason: string): void {
        if (this.isClosed) {
            return;
        }
        this.isClosed = true;
        this.isOpen = false;
        this.closeController.abort();
        this.socket.terminate();
        this.context.events.onClosed(this, reason);
    }

    private receive(data: RawData, isBinary: boolean): void {
        if (this.isClosed) {
            return;
        }
        const bytes = data as Buffer;
        this.lastReceivedAtMs = this.context.scheduler.nowMs();
        if (!this.isOpen) {
            this.receiveHandshake(bytes);
        }
        else if (!isBinary) {
            this.close("received a text frame after the handshake, where only binary frames are valid");
        }
        else {
            this.receiveFrame(bytes);
        }
    }

    private receiveHandshake(bytes: Buffer): void {
        if (bytes.length > maxHandshakeFrameBytes) {
            this.close("handshake frame exceeds the size limit");
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

    /** Stores the acceptor's identity and replies with the dialer's proof. */
    private receiveHello(bytes: Buffer): void {
        const hello = this.parse(PeerHello, bytes);
        if (hello === undefined || !this.isAcceptablePeer(hello)) {
            return;
        }
        this.peer = { vm: hello.vm, incarnation: hello.incarnation };
        this.generation = this.context.events.nextGeneration(hello.vm);
        this.expectedWelcomeProof = computePeerProof(this.context.sharedKey, "acceptor", this.ownHello, hello);
        const proof = computePeerProof(this.context.sharedKey, "dialer", this.ownHello, hello);
        const answer: PeerHelloAnswer = { ...this.ownHello, generation: this.generation, proof };
        this.socket.send(JSON.stringify(answer));
    }

    private receiveWelcome(bytes: Buffer): void {
        const welcome = this.parse(PeerWelcome, bytes);
        if (welcome === undefined) {
            return;
        }
        if (!isEqualProof(welcome.proof, this.expectedWelcomeProof)) {
            this.close("peer's proof does not match the shared key; check peers.key on both VMs");
            return;
        }
        this.open();
    }

    private receiveHelloAnswer(bytes: Buffer): void {
        const answer = this.parse(PeerHelloAnswer, bytes);
        if (answer === undefined || !this.isAcceptablePeer(answer)) {
            return;
        }
        if (!isEqualProof(answer.proof, computePeerProof(this.context.sharedKey, "dialer", answer, this.ownHello))) {
            this.close("peer's proof does not match the shared key; check peers.key on both VMs");
            return;
        }
        this.peer = { vm: answer.vm, incarnation: answer.incarnation };
        this.generation = answer.generation;
        const welcome: PeerWelcome = { proof: computePeerProof(this.context.sharedKey, "acceptor", answer, this.ownHello) };
        this.socket.send(JSON.stringify(welcome));
        this.open();
    }

    private open(): void {
        this.isOpen = true;
        this.context.events.onOpen(this);
    }

    private isAcceptablePeer(hello: PeerHello): boolean {
        if (hello.protocolVersion !== peerProtocolVersion) {
            this.close(`peer uses protocol version ${hello.protocolVersion}, this VM ${peerProtocolVersion}; upgrade the older VM`);
            return false;
        }
        if (hello.vm === this.context.self.vm && hello.incarnation === this.context.self.incarnation) {
            this.close("connected to this VM itself");
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
            this.close("handshake frame is not valid JSON");
            return undefined;
        }
        const parsed = schema.safeParse(value);
        if (!parsed.success) {
            this.close("handshake frame does not match the schema; the peer may run another version");
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
        this.handleFrame(decoded.value);
    }

    private handleFrame(frame: PeerFrame): void {
        const { events } = this.context;
        switch (frame.kind) {
            case "ping":
                if (frame.receiveSilenceMs >= this.context.limits.silentAfterMs) {
                    this.lastSilenceReportMs = this.lastReceivedAtMs;
                }
                this.send({ kind: "pong" });
                return;
            case "pong":
                return;
            case "message":
                this.lastUsedMs = this.lastReceivedAtMs;
                events.onMessage(this, frame.message);
                return;
            case "request":
                this.lastUsedMs = this.lastReceivedAtMs;
                events.onRequest(this, frame.id, frame.message);
                return;
            case "reply":
                this.lastUsedMs = this.lastReceivedAtMs;
                events.onReply(frame.id, frame.message);
                return;
        }
    }
}
