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

/** A check that comes later than after this many periods means that this process itself was paused. */
const pausedPeriods = 4;
/** A connection that was replaced stays readable this long, for what was sent on it before. */
const lingerMs = 1000;
const maxWaitingFrames = 256;
const maxLastReasons = 1000;

type Handler = (from: string, message: PeerMessage) => PeerMessage | undefined | Promise<PeerMessage | undefined>;

interface WebSocketPeerLinksOptions {
    readonly self: PeerIdentity;
    readonly listenHost: string;
    /** 0 takes any free port. */
    readonly listenPort: number;
    readonly sharedKey: string;
    readonly scheduler: Scheduler;
    readonly tls?: PeerTls | undefined;
    readonly limits?: PeerLinkLimits;
}

/**
 * Links to the other VMs over WebSockets. A link is dialled when something is first sent to a VM whose address is known. A connection on
 * which nothing is heard is replaced by a new one beside it; a VM is given up by the membership, never here.
 */
export class WebSocketPeerLinks implements PeerLinks {
    private readonly meter = new SocketByteCounter();
    private readonly limits: PeerLinkLimits;
    private readonly peers = new Map<string, PeerState>();
    private readonly handlers = new Map<string, Handler>();
    private readonly requests: PendingRequests;
    /** Connections whose handshake is not over. */
    private readonly opening = new Set<PeerConnection>();
    /** Why the last connection to each peer and address closed, as logged. */
    private readonly lastReasons = new Map<string, string>();
    private readonly linkListeners = new Set<(vm: string) => void>();
    private lastCheckMs = 0;
    private signal: AbortSignal = AbortSignal.abort();

    constructor(private readonly options: WebSocketPeerLinksOptions) {
        this.limits = options.limits ?? defaultPeerLinkLimits;
        this.requests = new PendingRequests(options.scheduler);
    }

    /** Opens the port for peers and resolves with its number; everything is closed when `signal` aborts. */
    start(signal: AbortSignal): ResultAsync<number, PeerListenError> {
        this.signal = signal;
        this.lastCheckMs = this.options.scheduler.nowMs();
        this.options.scheduler.every(this.limits.checkPeriodMs, () => {
            this.check();
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
                this.meter.add(transport);
                this.accept(socket, transport.remoteAddress ?? "unknown");
            },
        };
        return ResultAsync.fromPromise(openPeerServer(server, signal), error => ({
            kind: "listen-failed",
            message: `cannot listen for peers on ${this.options.listenHost}:${this.options.listenPort} (${
                String(error)
            }); free the port or set peer.listen`,
        }));
    }

    /** Bytes sent to other VMs as they went over the wire. */
    get sentBytes(): number {
        return this.meter.sentBytes;
    }

    get receivedBytes(): number {
        return this.meter.receivedBytes;
    }

    /** Tells where a VM can be dialled; undefined forgets it. */
    setAddress(vm: string, url: string | undefined): void {
        const state = this.peers.get(vm);
        if (state !== undefined) {
            state.url = url;
        }
        else if (url !== undefined) {
            this.peers.set(vm, newPeerState(url));
        }
    }

    /** Dials an address whose VM is not known yet; `onLink` listeners learn of it once it has proved itself. */
    dialAddress(url: string): void {
        if (!this.signal.aborted) {
            this.dial(url, undefined);
        }
    }

    /** Calls `listener` with the VM of each connection that opens. */
    onLinkOpened(listener: (vm: string) => void, signal: AbortSignal): void {
        this.linkListeners.add(listener);
        signal.addEventListener("abort", () => this.linkListeners.delete(listener), { once: true });
    }

    hasLink(vm: string): boolean {
        return this.connectionTo(vm) !== undefined;
    }

    send(vm: string, message: PeerMessage): boolean {
        return this.sendFrame(vm, { kind: "message", message });
    }

    request(vm: string, message: PeerMessage, timeoutMs: number, signal: AbortSignal): ResultAsync<PeerMessage, PeerError> {
        const { id, answer } = this.requests.add(vm, timeoutMs, signal);
        if (signal.aborted || !this.sendFrame(vm, { kind: "request", id, message })) {
            this.requests.settle(id, { kind: "no-link", message: `no link to VM ${vm}; it may be down or cut off` });
        }
        return answer;
    }

    onMessage<T extends PeerMessage["type"]>(
        type: T,
        handler: (from: string, message: Extract<PeerMessage, { type: T; }>) => PeerMessage | undefined | Promise<PeerMessage | undefined>,
        signal: AbortSignal,
    ): void {
        this.handlers.set(type, handler as Handler);
        signal.addEventListener("abort", () => this.handlers.delete(type), { once: true });
    }

    private accept(socket: WebSocket, address: string): void {
        const unproven = [...this.opening].filter(connection => connection.role === "acceptor").length;
        if (unproven >= this.limits.maxUnauthenticatedConnections) {
            log("too many connections wait for their handshake; a new one is closed");
            socket.terminate();
            return;
        }
        this.newConnection(socket, "acceptor", address, undefined);
    }

    private dial(url: string, vm: string | undefined): void {
        const state = vm === undefined ? undefined : this.peers.get(vm);
        if (state !== undefined) {
            state.isDialing = true;
            state.lastDialMs = this.options.scheduler.nowMs();
        }
        const socket = new WebSocket(url, {
            maxPayload: this.limits.maxFrameBytes,
            perMessageDeflate: peerCompression,
            handshakeTimeout: this.limits.handshakeTimeoutMs,
            followRedirects: false,
            ...(this.options.tls === undefined ? {} : { ca: this.options.tls.certificateAuthority }),
        });
        socket.once("upgrade", response => {
            this.meter.add(response.socket);
        });
        this.newConnection(socket, "dialer", url, state);
    }

    /** `address` names the other end in the log; `dialed` is the state of the VM that is being dialled, where it is known. */
    private newConnection(socket: WebSocket, role: "dialer" | "acceptor", address: string, dialed: PeerState | undefined): void {
        const connection = new PeerConnection(socket, role, {
            self: this.options.self,
            sharedKey: this.options.sharedKey,
            limits: this.limits,
            scheduler: this.options.scheduler,
            events: {
                nextGeneration: vm => this.nextGeneration(vm),
                onOpen: opened => {
                    this.lastReasons.delete(`${vmOf(opened)} ${address}`);
                    this.onOpen(opened);
                    this.endDial(dialed);
                },
                onMessage: (sender, message) => void this.handle(vmOf(sender), message),
                onRequest: (sender, id, message) => void this.answer(vmOf(sender), id, message),
                onReply: (id, message) => {
                    this.requests.settle(id, message);
                },
                onClosed: (closed, reason) => {
                    this.logClosed(closed, address, reason);
                    this.onClosed(closed, reason);
                    this.endDial(dialed);
                },
            },
        });
        this.opening.add(connection);
    }

    /** What still waits when a dial ends is lost: it either was sent, or the peer could not be reached. */
    private endDial(state: PeerState | undefined): void {
        if (state === undefined) {
            return;
        }
        const lost = state.queuedFrames;
        state.isDialing = false;
        state.queuedFrames = [];
        for (const frame of lost) {
            if (frame.kind === "request") {
                this.requests.settle(frame.id, { kind: "no-link", message: "the VM could not be reached; it may be down or cut off" });
            }
        }
    }

    private nextGeneration(vm: string): number {
        const generations = (this.peers.get(vm)?.connections ?? []).map(connection => connection.generation);
        return Math.max(0, ...generations) + 1;
    }

    private onOpen(connection: PeerConnection): void {
        this.opening.delete(connection);
        if (this.signal.aborted) {
            connection.close("this VM stops");
            return;
        }
        const vm = vmOf(connection);
        const state = this.peers.get(vm) ?? newPeerState(undefined);
        this.peers.set(vm, state);
        state.connections.push(connection);
        log("link is open", { vm, generation: connection.generation });
        this.retireOthers(state);
        const waiting = state.queuedFrames;
        state.queuedFrames = [];
        for (const frame of waiting) {
            this.sendFrame(vm, frame);
        }
        for (const listener of this.linkListeners) {
            listener(vm);
        }
    }

    /** Closes all connections but the best; those of the same incarnation linger for what is still on the way. */
    private retireOthers(state: PeerState): void {
        const best = this.best(state);
        for (const connection of [...state.connections]) {
            if (connection === best) {
                continue;
            }
            if (connection.peer?.incarnation !== best?.peer?.incarnation) {
                connection.close("the VM was replaced by a newer incarnation");
                continue;
            }
            this.options.scheduler.after(lingerMs, () => {
                if (this.best(state) !== connection) {
                    connection.close("a newer connection took its place");
                }
            }, this.signal);
        }
    }

    /** A VM that is down is dialled again and again, and so may a faulty peer dial: one line for each reason is enough. */
    private logClosed(connection: PeerConnection, address: string, reason: string): void {
        const vm = connection.peer?.vm ?? "unknown";
        const key = `${vm} ${address}`;
        if (this.lastReasons.get(key) === reason) {
            return;
        }
        if (this.lastReasons.size >= maxLastReasons) {
            this.lastReasons.clear();
        }
        this.lastReasons.set(key, reason);
        log("link closed", { vm, address, reason });
    }

    private onClosed(connection: PeerConnection, reason: string): void {
        this.opening.delete(connection);
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
            this.requests.fail(vm, reason);
        }
    }

    private sendFrame(vm: string, frame: PeerFrame): boolean {
        const connection = this.connectionTo(vm);
        if (connection !== undefined) {
            return connection.send(frame);
        }
        const state = this.peers.get(vm);
        if (state === undefined || !this.dialIfDue(vm, state) || state.queuedFrames.length >= maxWaitingFrames) {
            return false;
        }
        state.queuedFrames.push(frame);
        return true;
    }

    /** True when a dial is under way afterwards. */
    private dialIfDue(vm: string, state: PeerState): boolean {
        if (state.isDialing) {
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

    private connectionTo(vm: string): PeerConnection | undefined {
        const state = this.peers.get(vm);
        return state === undefined ? undefined : this.best(state);
    }

    private best(state: PeerState): PeerConnection | undefined {
        return selectBestConnection(this.options.self.vm, state.connections, this.options.scheduler.nowMs());
    }

    private async handle(from: string, message: PeerMessage): Promise<PeerMessage | undefined> {
        const handler = this.handlers.get(message.type);
        if (handler === undefined) {
            log("no task handles this message; it is dropped", { type: message.type, vm: from });
            return undefined;
        }
        try {
            return await handler(from, message);
        }
        catch (error) {
            log("handling a message failed", { type: message.type, vm: from, error: String(error) });
            return undefined;
        }
    }

    private async answer(from: string, id: number, message: PeerMessage): Promise<void> {
        const reply = await this.handle(from, message);
        if (reply !== undefined) {
            this.sendFrame(from, { kind: "reply", id, message: reply });
        }
    }

    private check(): void {
        const nowMs = this.options.scheduler.nowMs();
        const pausedMs = nowMs - this.lastCheckMs;
        this.lastCheckMs = nowMs;
        for (const [vm, state] of this.peers) {
            for (const connection of [...state.connections]) {
                if (pausedMs > pausedPeriods * this.limits.checkPeriodMs) {
                    connection.lastHeardMs += pausedMs;
                }
                this.checkConnection(vm, state, connection, nowMs);
            }
        }
    }

    private checkConnection(vm: string, state: PeerState, connection: PeerConnection, nowMs: number): void {
        const quietMs = nowMs - connection.lastHeardMs;
        if (nowMs - connection.lastUsedMs > this.limits.idleAfterMs) {
            connection.close("no message was sent for a while");
            return;
        }
        if (quietMs > this.limits.closeAfterMs) {
            connection.close("the peer fell silent");
            return;
        }
        connection.pingIfDue(nowMs);
        if (connection.isSilent(nowMs) && this.best(state) === connection) {
            this.dialIfDue(vm, state);
        }
    }

    private closeAll(): void {
        for (const connection of this.opening) {
            connection.close("this VM stops");
        }
        for (const state of this.peers.values()) {
            for (const connection of [...state.connections]) {
                connection.close("this VM stops");
            }
        }
    }
}

function newPeerState(url: string | undefined): PeerState {
    return { url, isDialing: false, lastDialMs: -Infinity, connections: [], queuedFrames: [] };
}

function vmOf(connection: PeerConnection): string {
    return connection.peer?.vm ?? "";
}
