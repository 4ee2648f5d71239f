import { ResultAsync } from "neverthrow";
import type { Socket } from "node:net";
import { WebSocket } from "ws";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import { createLogger } from "../logs/createLogger.js";
import type { PeerError } from "../services/PeerError.js";
import type { PeerLinks } from "../services/PeerLinks.js";
import { defaultPeerLinkLimits } from "./defaultPeerLinkLimits.js";
import { openPeerServer } from "./openPeerServer.js";
import { peerCompression } from "./peerCompression.js";
import { PeerConnection } from "./PeerConnection.js";
import type { PeerFrame } from "./PeerFrame.js";
import type { PeerIdentity } from "./PeerIdentity.js";
import type { PeerLinkLimits } from "./PeerLinkLimits.js";
import type { PeerListenError } from "./PeerListenError.js";
import type { PeerState } from "./PeerState.js";
import type { PeerTls } from "./PeerTls.js";
import { PendingRequests } from "./PendingRequests.js";
import { selectBestConnection } from "./selectBestConnection.js";
import { SocketByteCounter } from "./SocketByteCounter.js";

const log = createLogger("peer");
/** Head, hello and proof take less than 7 kB; a frame is collected up to its own limit, which is far larger. */
const maxHandshakeBytes = 16_384;

/** If two checks are further apart than this many periods, this process was paused, and the gap does not count as silence of the peers. */
const maxCheckDelayPeriods = 4;
/** A superseded connection stays open this long, so that frames already in flight on it still arrive. */
const supersededCloseDelayMs = 1000;
const maxQueuedFrames = 256;
const maxLastCloseReasons = 1000;

type MessageHandler = (from: string, message: PeerMessage) => PeerMessage | undefined | Promise<PeerMessage | undefined>;

interface WebSocketPeerLinksOptions {
    readonly self: PeerIdentity;
    readonly listenHost: string;
    /** 0 selects any free port. */
    readonly listenPort: number;
    readonly sharedKey: string;
    readonly scheduler: Scheduler;
    readonly tls?: PeerTls | undefined;
    readonly limits?: PeerLinkLimits;
}

/**
 * Links to the other VMs over WebSockets. A link is dialed when something is first sent to a VM whose address is known. While a connection
 * is silent, a replacement is dialed and the old one stays open. Only the membership decides that a VM is gone, never this class.
 */
export class WebSocketPeerLinks implements PeerLinks {
    private readonly byteCounter = new SocketByteCounter();
    private readonly limits: PeerLinkLimits;
    private readonly peers = new Map<string, PeerState>();
    private readonly handlers = new Map<string, MessageHandler>();
    private readonly requests: PendingRequests;
    /** Connections whose handshake is not complete. */
    private readonly handshakingConnections = new Set<PeerConnection>();
    /** Last logged close reason by peer and address. */
    private readonly lastCloseReasons = new Map<string, string>();
    private readonly linkOpenedListeners = new Set<(vm: string) => void>();
    private lastCheckMs = 0;
    private signal: AbortSignal = AbortSignal.abort();

    constructor(private readonly options: WebSocketPeerLinksOptions) {
        this.limits = options.limits ?? defaultPeerLinkLimits;
        this.requests = new PendingRequests(options.scheduler);
    }

    /** Opens the port for peer connections and resolves with its number; the port and all connections close when `signal` aborts. */
    start(signal: AbortSignal): ResultAsync<number, PeerListenError> {
        this.signal = signal;
        this.lastCheckMs = this.options.scheduler.nowMs();
        this.options.scheduler.every(this.limits.checkPeriodMs, () => {
            this.checkConnections();
        }, signal);
        signal.addEventListener("abort", () => {
            this.closeAll();
        }, { once: true });
        const server = {
            host: this.options.listenHost,
            port: this.options.listenPort,
            tls: this.options.tls,
            maxFrameBytes: this.limits.maxFrameBytes,
            onSocket: (socket: WebSocket, transport: Socket) => {
                this.byteCounter.add(transport);
                this.accept(socket, transport);
            },
        };
        return ResultAsync.fromPromise(openPeerServer(server, signal), error => ({
            kind: "listen-failed",
            message: `cannot listen for peers on ${this.options.listenHost}:${this.options.listenPort} (${
                String(error)
            }); free the port or change listen.peer`,
        }));
    }

    /** Bytes sent to other VMs as transmitted, after compression. */
    get sentBytes(): number {
        return this.byteCounter.sentBytes;
    }

    /** Bytes received from other VMs as transmitted, before decompression. */
    get receivedBytes(): number {
        return this.byteCounter.receivedBytes;
    }

    /** Sets the URL at which a VM is dialed; undefined removes it. */
    setAddress(vm: string, url: string | undefined): void {
        const state = this.peers.get(vm);
        if (state !== undefined) {
            state.url = url;
        }
        else if (url !== undefined) {
            this.peers.set(vm, createPeerState(url));
        }
    }

    /** Dials an address whose VM is not known yet; `onLinkOpened` listeners receive the VM once its handshake is complete. */
    dialAddress(url: string): void {
        if (!this.signal.aborted) {
            this.dial(url, undefined);
        }
    }

    /** Calls `listener` with the VM of each connection that opens, until `signal` aborts. */
    onLinkOpened(listener: (vm: string) => void, signal: AbortSignal): void {
        this.linkOpenedListeners.add(listener);
        signal.addEventListener("abort", () => this.linkOpenedListeners.delete(listener), { once: true });
    }

    hasLink(vm: string): boolean {
        return this.findConnection(vm) !== undefined;
    }

    send(vm: string, message: PeerMessage): boolean {
        return this.sendFrame(vm, { kind: "message", message });
    }

    request(vm: string, message: PeerMessage, timeoutMs: number, signal: AbortSignal): ResultAsync<PeerMessage, PeerError> {
        const { id, answer } = this.requests.add(vm, timeoutMs, signal);
        if (signal.aborted || !this.sendFrame(vm, { kind: "request", id, message })) {
            this.requests.settle(id, { kind: "no-link", message: `no link to VM ${vm}; it may be down or unreachable` });
        }
        return answer;
    }

    onMessage<T extends PeerMessage["type"]>(
        type: T,
        handler: (from: string, message: Extract<PeerMessage, { type: T; }>) => PeerMessage | undefined | Promise<PeerMessage | undefined>,
        signal: AbortSignal,
    ): void {
        this.handlers.set(type, handler as MessageHandler);
        signal.addEventListener("abort", () => this.handlers.delete(type), { once: true });
    }

    private accept(socket: WebSocket, transport: Socket): void {
        const unauthenticatedCount = [...this.handshakingConnections].filter(connection => connection.role === "acceptor").length;
        if (unauthenticatedCount >= this.limits.maxUnauthenticatedConnections) {
            log("too many unauthenticated connections; closing the new one");
            socket.terminate();
            return;
        }
        const connection = this.createConnection(socket, "acceptor", transport.remoteAddress ?? "unknown", undefined);
        const limitHandshake = () => {
            if (connection.isOpen) {
                transport.off("data", limitHandshake);
            }
            else if (transport.bytesRead > maxHandshakeBytes) {
                transport.off("data", limitHandshake);
                connection.close("sent too much before the handshake was complete");
            }
        };
        transport.on("data", limitHandshake);
    }

    private dial(url: string, vm: string | undefined): void {
        const state = vm === undefined ? undefined : this.peers.get(vm);
        if (state !== undefined) {
            state.lastDialMs = this.options.scheduler.nowMs();
        }
        const socket = new WebSocket(url, {
            maxPayload: this.limits.maxFrameBytes,
            perMessageDeflate: peerCompression,
            followRedirects: false,
            ...(this.options.tls === undefined ? {} : { ca: this.options.tls.certificateAuthority }),
        });
        socket.once("upgrade", response => {
            this.byteCounter.add(response.socket);
        });
        const connection = this.createConnection(socket, "dialer", url, state);
        if (state !== undefined) {
            state.dialingConnection = connection;
        }
    }

    /** `address` identifies the other end in the log; `dialedPeer` is the state of the VM that is dialed, if it is known. */
    private createConnection(
        socket: WebSocket,
        role: "dialer" | "acceptor",
        address: string,
        dialedPeer: PeerState | undefined,
    ): PeerConnection {
        const connection = new PeerConnection(socket, role, {
            self: this.options.self,
            sharedKey: this.options.sharedKey,
            limits: this.limits,
            scheduler: this.options.scheduler,
            events: {
                nextGeneration: vm => this.nextGeneration(vm),
                onOpen: opened => {
                    this.lastCloseReasons.delete(`${getPeerVm(opened)} ${address}`);
                    this.onOpen(opened);
                    this.finishDial(dialedPeer, opened);
                },
                onMessage: (sender, message) => void this.handleMessage(getPeerVm(sender), message),
                onRequest: (sender, id, message) => void this.handleRequest(getPeerVm(sender), id, message),
                onReply: (id, message) => {
                    this.requests.settle(id, message);
                },
                onClosed: (closed, reason) => {
                    this.logClosed(closed, address, reason);
                    this.onClosed(closed, reason);
                    this.finishDial(dialedPeer, closed);
                },
            },
        });
        this.handshakingConnections.add(connection);
        return connection;
    }

    /**
     * Ends the dial of `connection`, if it is in progress, and drops the frames still queued for it. Some are left only if the dial failed, as an
     * opened connection sends them.
     */
    private finishDial(state: PeerState | undefined, connection: PeerConnection): void {
        if (state?.dialingConnection !== connection) {
            return;
        }
        const undeliveredFrames = state.queuedFrames;
        state.dialingConnection = undefined;
        state.queuedFrames = [];
        for (const frame of undeliveredFrames) {
            if (frame.kind === "request") {
                this.requests.settle(frame.id, { kind: "no-link", message: "cannot connect to the VM; it may be down or unreachable" });
            }
        }
    }

    private nextGeneration(vm: string): number {
        const generations = (this.peers.get(vm)?.connections ?? []).map(connection => connection.generation);
        return Math.max(0, ...generations) + 1;
    }

    private onOpen(connection: PeerConnection): void {
        this.handshakingConnections.delete(connection);
        if (this.signal.aborted) {
            connection.close("this VM is shutting down");
            return;
        }
        const vm = getPeerVm(connection);
        const state = this.peers.get(vm) ?? createPeerState(undefined);
        this.peers.set(vm, state);
        state.connections.push(connection);
        log("peer connection opened", { vm, generation: connection.generation });
        this.closeSupersededConnections(state);
        const queuedFrames = state.queuedFrames;
        state.queuedFrames = [];
        for (const frame of queuedFrames) {
            this.sendFrame(vm, frame);
        }
        for (const listener of this.linkOpenedListeners) {
            listener(vm);
        }
    }

    /** Closes all connections except the best one; those of the same incarnation stay open for a while for frames still in flight. */
    private closeSupersededConnections(state: PeerState): void {
        const bestConnection = this.findBestConnection(state);
        for (const connection of [...state.connections]) {
            if (connection === bestConnection) {
                continue;
            }
            if (connection.peer?.incarnation !== bestConnection?.peer?.incarnation) {
                connection.close("superseded by a newer incarnation of the VM");
                continue;
            }
            this.options.scheduler.after(supersededCloseDelayMs, () => {
                if (this.findBestConnection(state) !== connection) {
                    connection.close("superseded by another connection");
                }
            }, this.signal);
        }
    }

    /** Logs a close if its reason differs from the last one, as a VM that is down is redialed and a faulty peer may dial repeatedly. */
    private logClosed(connection: PeerConnection, address: string, reason: string): void {
        const vm = connection.peer?.vm ?? "unknown";
        const key = `${vm} ${address}`;
        if (this.lastCloseReasons.get(key) === reason) {
            return;
        }
        if (this.lastCloseReasons.size >= maxLastCloseReasons) {
            this.lastCloseReasons.clear();
        }
        this.lastCloseReasons.set(key, reason);
        log("peer connection closed", { vm, address, reason });
    }

    private onClosed(connection: PeerConnection, reason: string): void {
        this.handshakingConnections.delete(connection);
        const vm = connection.peer?.vm;
        const state = vm === undefined ? undefined : this.peers.get(vm);
        if (vm === undefined || state === undefined) {
            return;
        }
        const index = state.connections.indexOf(connection);
        if (index >= 0) {
            state.connections.splice(index, 1);
        }
        if (state.connections.length === 0) {
            this.requests.failAll(vm, reason);
        }
    }

    private sendFrame(vm: string, frame: PeerFrame): boolean {
        const connection = this.findConnection(vm);
        if (connection !== undefined) {
            return connection.send(frame);
        }
        const state = this.peers.get(vm);
        if (state === undefined || !this.dialIfDue(vm, state) || state.queuedFrames.length >= maxQueuedFrames) {
            return false;
        }
        state.queuedFrames.push(frame);
        return true;
    }

    /** Dials the VM if it is due; returns whether a dial is in progress. */
    private dialIfDue(vm: string, state: PeerState): boolean {
        if (state.dialingConnection !== undefined) {
            return true;
        }
        const isTooSoon = this.options.scheduler.nowMs() - state.lastDialMs < this.limits.redialAfterMs;
        if (state.url === undefined || isTooSoon || this.signal.aborted) {
            return false;
        }
        state.queuedFrames = [];
        this.dial(state.url, vm);
        return true;
    }

    private findConnection(vm: string): PeerConnection | undefined {
        const state = this.peers.get(vm);
        return state === undefined ? undefined : this.findBestConnection(state);
    }

    private findBestConnection(state: PeerState): PeerConnection | undefined {
        return selectBestConnection(this.options.self.vm, state.connections, this.options.scheduler.nowMs());
    }

    private async handleMessage(from: string, message: PeerMessage): Promise<PeerMessage | undefined> {
        const handler = this.handlers.get(message.type);
        if (handler === undefined) {
            log("no handler for peer message; dropping it", { type: message.type, vm: from });
            return undefined;
        }
        try {
            return await handler(from, message);
        }
        catch (error) {
            log("handler of peer message failed; sending no reply", { type: message.type, vm: from, error: String(error) });
            return undefined;
        }
    }

    private async handleRequest(from: string, id: number, message: PeerMessage): Promise<void> {
        const reply = await this.handleMessage(from, message);
        if (reply !== undefined) {
            this.sendFrame(from, { kind: "reply", id, message: reply });
        }
    }

    private checkConnections(): void {
        const nowMs = this.options.scheduler.nowMs();
        const sinceLastCheckMs = nowMs - this.lastCheckMs;
        this.lastCheckMs = nowMs;
        for (const [vm, state] of this.peers) {
            for (const connection of [...state.connections]) {
                if (sinceLastCheckMs > maxCheckDelayPeriods * this.limits.checkPeriodMs) {
                    connection.lastReceivedAtMs += sinceLastCheckMs;
                }
                this.checkConnection(vm, state, connection, nowMs);
            }
        }
    }

    private checkConnection(vm: string, state: PeerState, connection: PeerConnection, nowMs: number): void {
        const receiveSilenceMs = nowMs - connection.lastReceivedAtMs;
        if (nowMs - connection.lastUsedMs > this.limits.idleAfterMs) {
            connection.close("idle timeout: no messages sent or received");
            return;
        }
        if (receiveSilenceMs > this.limits.closeAfterMs) {
            connection.close("receive timeout: nothing received from the peer");
            return;
        }
        connection.pingIfDue(nowMs);
        if (connection.isSilent(nowMs) && this.findBestConnection(state) === connection) {
            this.dialIfDue(vm, state);
        }
    }

    private closeAll(): void {
        for (const connection of this.handshakingConnections) {
            connection.close("this VM is shutting down");
        }
        for (const state of this.peers.values()) {
            for (const connection of [...state.connections]) {
                connection.close("this VM is shutting down");
            }
        }
    }
}

function createPeerState(url: string | undefined): PeerState {
    return { url, dialingConnection: undefined, lastDialMs: -Infinity, connections: [], queuedFrames: [] };
}

function getPeerVm(connection: PeerConnection): string {
    return connection.peer?.vm ?? "";
}
