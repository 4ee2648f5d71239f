import { ResultAsync } from "neverthrow";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, Server as NetServer, type Socket } from "node:net";
import { admitRelayCall } from "../../core/relay/admitRelayCall.js";
import { callerLoadLimits } from "../../core/relay/callerLoadLimits.js";
import { computeCallerLoadLimits } from "../../core/relay/computeCallerLoadLimits.js";
import { mayTakeCallWhileStopping } from "../../core/relay/mayTakeCallWhileStopping.js";
import type { RouteTable } from "../../core/relay/RouteTable.js";
import type { RelayCall } from "../../schema/relay/RelayCall.js";
import { CallerMemoryBudget } from "../caller/CallerMemoryBudget.js";
import { limitConnections } from "../caller/limitConnections.js";
import { SlabPool } from "../caller/SlabPool.js";
import { createRateLimitedLogger } from "../logs/createRateLimitedLogger.js";
import type { BodyFailure } from "./BodyFailure.js";
import { CallerConnection } from "./CallerConnection.js";
import { discardBody } from "./discardBody.js";
import { drainBody } from "./drainBody.js";
import { RelayCallHandler } from "./RelayCallHandler.js";
import type { RelayDependencies } from "./RelayDependencies.js";
import type { RelayRefusal } from "./RelayRefusal.js";
import { RequestBody } from "./RequestBody.js";
import { sendRefusal } from "./sendRefusal.js";

/** Lines that a crowd of callers can cause are limited to this many a second. */
const maxLinesPerSecond = 50;
const log = createRateLimitedLogger("relay", maxLinesPerSecond);
/** Limits in force until the first configuration is known. */
const initialLimits = { headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 };
const connectionsCheckIntervalMs = 500;
/** At multiples of the membership's tick, so that it costs no wake-up of its own. */
const callerCheckIntervalMs = 1_000;
const bodyFailures: Readonly<Record<BodyFailure, Pick<RelayRefusal, "status" | "message" | "retryAfterMs">>> = {
    body_too_large: { status: 413, message: "request body exceeds the limit; send a smaller body" },
    body_incomplete: { status: 400, message: "request body ended early; send the complete request again" },
    body_timeout: { status: 408, message: "request body took too long; send the complete request again" },
    overloaded: {
        status: 503,
        message: "this VM has no memory left for further requests; send the call again",
        retryAfterMs: callerLoadLimits.retryAfterMs,
    },
};
/** Bytes of a response that are buffered for a slow caller before its upstream is paused. */
const callerBufferBytes = 16 * 1024;
/** Retry delays: short on a stopping VM, whose callers then reach another VM; longer on a starting VM, which waits for its configuration. */
const retryAfterMs = { stopping: 50, starting: 300 };
const stoppingRefusal: RelayRefusal = {
    status: 503,
    reason: "stopping",
    outcome: "not-run",
    message: "this VM is stopping; send the call again",
    retryAfterMs: retryAfterMs.stopping,
};

const tooManyCallsRefusal: RelayRefusal = {
    status: 503,
    reason: "too_many_calls",
    outcome: "not-run",
    message: "this VM has no descriptors left for further calls; send the call again",
    retryAfterMs: callerLoadLimits.retryAfterMs,
};
const overloadedRefusal: RelayRefusal = { ...bodyFailures.overloaded, reason: "overloaded", outcome: "not-run" };
const malformedRefusal = { status: 400, reason: "malformed", outcome: "not-run" } as const;

interface RelayServerOptions extends RelayDependencies {
    readonly host: string;
    /** 0 selects any free port. */
    readonly port: number;
    /** Called for each call that is refused before an upstream is chosen. */
    readonly onRefusal: (refusal: { readonly status: number; readonly reason: string; }) => void;
    /** Called for each connection that is closed to protect this VM. */
    readonly onConnectionClosed?: (reason: string) => void;
    /** What callers may make this VM hold; without it, that of a VM whose settings give no memory and no descriptors. */
    readonly load?: ReturnType<typeof computeCallerLoadLimits>;
}

/** HTTP server that accepts calls on one port and relays them to upstreams. */
export class RelayServer {
    private readonly server: Server;
    private readonly drainResolvers: (() => void)[] = [];
    /** Responses that have not been written completely, with their connections. */
    private readonly openResponses = new Map<ServerResponse, Socket>();
    /** Connections on which a malformed request is refused once the responses before it have been written. */
    private readonly pendingRefusals = new WeakSet<Socket>();
    /** Connections that end with the last response that was begun on them; what arrives after its call is not read. */
    private readonly endingConnections = new WeakSet<Socket>();
    private readonly callerConnections = new Map<Socket, CallerConnection>();
    private readonly load: ReturnType<typeof computeCallerLoadLimits>;
    private readonly budget: CallerMemoryBudget;
    private readonly slabPool: SlabPool;
    private runningCalls = 0;
    private phase: "open" | "leaving" | "closed" = "open";
    private readonly exitController = new AbortController();
    /** When this VM exits; Infinity until it is asked to stop. */
    private exitMs = Infinity;

    constructor(private readonly options: RelayServerOptions) {
        this.load = options.load ?? computeCallerLoadLimits();
        this.budget = new CallerMemoryBudget(this.load.budgetBytes);
        this.slabPool = new SlabPool(this.load.budgetBytes / 4);
        this.server = createServer({
            maxHeaderSize: initialLimits.headerBytes * 2,
            headersTimeout: initialLimits.headerTimeoutMs,
            connectionsCheckingInterval: connectionsCheckIntervalMs,
            keepAliveTimeout: initialLimits.idleTimeoutMs,
            noDelay: true,
            highWaterMark: callerBufferBytes,
        }, (incoming, outgoing) => {
            void this.handleRequest(incoming, outgoing);
        });
        // One more than is allowed, as Node.js drops fields beyond this silently.
        this.server.maxHeadersCount = callerLoadLimits.maxHeaderFields + 1;
        limitConnections(this.server, {
            maxConnections: this.load.maxCallerConnections,
            rank: socket => this.callerConnections.get(socket)?.closingRank,
            onClosed: () => {
                this.recordClosedConnection("too_many_connections");
            },
        });
        this.server.on("connection", (socket: Socket) => {
            this.callerConnections.set(
                socket,
                new CallerConnection(socket, this.budget, reason => {
                    this.recordClosedConnection(reason);
                }),
            );
            socket.once("close", () => this.callerConnections.delete(socket));
        });
        this.server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
            this.refuseMalformed(error, socket);
        });
    }

    /** Number of calls whose response is not complete. */
    get activeCalls(): number {
        return this.openResponses.size;
    }

    /** Memory that callers make this VM hold. */
    get callerMemoryBytes(): number {
        return this.budget.usedBytes;
    }

    /** Listens until `signal` aborts; resolves with the port, and the error says why it could not be opened. */
    start(signal: AbortSignal): ResultAsync<number, string> {
        signal.addEventListener("abort", () => {
            this.server.close();
            this.server.closeAllConnections();
        }, { once: true });
        const { host, port, scheduler } = this.options;
        scheduler.every(callerCheckIntervalMs, () => {
            for (const connection of this.callerConnections.values()) {
                connection.check(scheduler.nowMs());
            }
        }, signal);
        const listening = new Promise<number>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, host, () => {
                resolve((this.server.address() as AddressInfo).port);
            });
        });
        return ResultAsync.fromPromise(
            listening,
            error => `cannot listen for callers on ${host}:${port} (${String(error)}); free the port`,
        );
    }

    /** Applies the limits of a new configuration. */
    setLimits(limits: { readonly headerTimeoutMs: number; readonly idleTimeoutMs: number; }): void {
        this.server.headersTimeout = limits.headerTimeoutMs;
        this.server.keepAliveTimeout = limits.idleTimeoutMs;
    }

    /**
     * Still accepts calls that end before this VM exits at `exitMs`, but closes each connection after its response, so that callers open the
     * next one to another VM.
     */
    disableKeepAlive(exitMs: number): void {
        this.phase = "leaving";
        this.exitMs = exitMs;
        const lastResponses = new Map([...this.openResponses].map(([response, socket]) => [socket, response]));
        for (const response of lastResponses.values()) {
            this.endConnectionAfter(response);
        }
    }

    /** Ends the calls that have not been answered, and tells their callers whether they may have run. */
    endUnfinishedCalls(): void {
        this.exitController.abort();
    }

    /** Accepts no more calls; resolves when the response to each one in flight has been written. */
    drain(): Promise<void> {
        this.phase = "closed";
        // `close` of the HTTP server would also close connections whose response has ended but has not been written yet.
        NetServer.prototype.close.call(this.server);
        return new Promise(resolve => {
            this.drainResolvers.push(resolve);
            this.continueDrain();
        });
    }

    private async handleRequest(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
        if (incoming.socket.destroyed) {
            return;
        }
        if (this.endingConnections.has(incoming.socket)) {
            log("call not read: its connection is about to be closed", { phase: this.phase });
            incoming.resume();
            return;
        }
        const connection = this.callerConnections.get(incoming.socket);
        this.openResponses.set(outgoing, incoming.socket);
        const hasRoom = connection?.begin(outgoing, incoming.rawHeaders.length / 2) ?? true;
        const written = new Promise(resolve => outgoing.once("close", resolve));
        this.keepPromisedIdleTime(outgoing, incoming.socket);
        // Node.js gives a pipelined response its connection when the response before has ended, also if it was destroyed meanwhile.
        outgoing.once("socket", (socket: Socket) => {
            if (outgoing.destroyed) {
                socket.destroySoon();
            }
        });
        if (this.phase !== "open") {
            this.endConnectionAfter(outgoing);
        }
        try {
            await this.receiveCall(incoming, outgoing, connection, hasRoom);
        }
        catch (error) {
            this.refuseAfterException(outgoing, error);
        }
        await written;
        connection?.end(outgoing);
        this.openResponses.delete(outgoing);
        this.continueDrain();
    }

    /** Node.js applies the idle timeout at the end of a response, while its head has told the caller the one in force at its beginning. */
    private keepPromisedIdleTime(outgoing: ServerResponse, socket: Socket): void {
        const promisedMs = this.server.keepAliveTimeout;
        outgoing.once("finish", () => {
            const timeoutMs = socket.timeout ?? 0;
            if (timeoutMs > 0) {
                socket.setTimeout(Math.max(timeoutMs, promisedMs + this.server.keepAliveTimeoutBuffer));
            }
        });
    }

    /** Answers a call whose handler has thrown, or cuts its response when the head has been sent. */
    private refuseAfterException(outgoing: ServerResponse, error: unknown): void {
        log(
            `relaying a call failed unexpectedly; ${
                outgoing.headersSent ? "cutting its response" : "telling its caller that it may have run"
            }`,
            {
                error: error instanceof Error ? error.stack : String(error),
            },
        );
        if (outgoing.headersSent) {
            outgoing.destroy();
            return;
        }
        for (const name of outgoing.getHeaderNames()) {
            outgoing.removeHeader(name);
        }
        this.endConnectionAfter(outgoing);
        this.refuse(outgoing, undefined, {
            status: 502,
            reason: "internal_error",
            outcome: "unknown",
            message: "this VM failed while it relayed the call; the call may have run",
        });
    }

    private endConnectionAfter(response: ServerResponse): void {
        const socket = this.openResponses.get(response);
        if (socket !== undefined && !response.headersSent) {
            response.setHeader("connection", "close");
            this.endingConnections.add(socket);
        }
    }

    private async receiveCall(
        incoming: IncomingMessage,
        outgoing: ServerResponse,
        connection: CallerConnection | undefined,
        hasRoom: boolean,
    ): Promise<void> {
        const { dialect, scheduler } = this.options;
        const arrivedMs = scheduler.nowMs();
        const disconnectSignal = createDisconnectSignal(outgoing);
        const maxBodyBytes = this.options.routeTable()?.config.limits.bodyBytes ?? initialLimits.bodyBytes;
        const decoded = dialect.decodeCall(incoming);
        const call = decoded.unwrapOr(undefined);
        const refusal = hasRoom
            ? decoded.match(() => findHeadRefusal(incoming), message => ({ ...malformedRefusal, message }))
            : overloadedRefusal;
        if (refusal !== undefined || call === undefined) {
            await discardBody(incoming, maxBodyBytes, callerLoadLimits.discardMs, scheduler);
            if (disconnectSignal.aborted || incoming.socket.destroyed) {
                this.logDisconnect(call);
                return;
            }
            this.refuse(outgoing, call, refusal as RelayRefusal);
            drainBody(incoming, outgoing, scheduler);
            return;
        }
        const routeTable = this.options.routeTable();
        const admitted = routeTable === undefined ? undefined : this.admit(routeTable, call);
        const isDenied = admitted?.isErr() === true && this.phase !== "closed";
        const timeoutMs = admitted?.match(({ route }) => route.timeoutMs, () => call.patienceMs ?? 0) ?? 0;
        const body = new RequestBody(incoming, {
            maxBytes: maxBodyBytes,
            deadlineMs: arrivedMs + Math.min(timeoutMs, call.patienceMs ?? Infinity),
            nowMs: () => scheduler.nowMs(),
            pool: this.slabPool,
            onChanged: bytes => connection?.changeBody(outgoing, bytes),
        });
        connection?.setBody(outgoing, body, isDenied);
        if (isDenied) {
            const denial = await this.decideAgain(call, incoming, body, maxBodyBytes);
            if (denial !== undefined) {
                connection?.releaseBody(outgoing);
                if (disconnectSignal.aborted || incoming.socket.destroyed) {
                    this.logDisconnect(call);
                    return;
                }
                this.refuse(outgoing, call, denial);
                drainBody(incoming, outgoing, scheduler);
                return;
            }
            connection?.setBody(outgoing, body);
        }
        const received = await body.result;
        if (disconnectSignal.aborted || incoming.socket.destroyed) {
            connection?.releaseBody(outgoing);
            this.logDisconnect(call);
            return;
        }
        if (received.isErr()) {
            connection?.releaseBody(outgoing);
            this.refuse(outgoing, call, { ...bodyFailures[received.error], reason: received.error, outcome: "not-run" });
            drainBody(incoming, outgoing, scheduler);
            return;
        }
        await this.relay(call, {
            incoming,
            outgoing,
            body: received.value.length > 0 ? received.value : undefined,
            arrivedMs,
            disconnectSignal,
        });
    }

    /**
     * Decides about a call that was denied when its head arrived, at the end of its body or after a while: the configuration that admits it may arrive
     * meanwhile. Returns the denial if it still holds.
     */
    private async decideAgain(
        call: RelayCall,
        incoming: IncomingMessage,
        body: RequestBody,
        maxBodyBytes: number,
    ): Promise<RelayRefusal | undefined> {
        const { scheduler } = this.options;
        const endMs = scheduler.nowMs() + callerLoadLimits.discardMs;
        const timer = new AbortController();
        const timeout = new Promise<undefined>(resolve => {
            scheduler.after(callerLoadLimits.discardMs, () => {
                resolve(undefined);
            }, timer.signal);
        });
        const received = await Promise.race([body.result, timeout]);
        timer.abort();
        if (received?.isErr() === true && received.error === "overloaded") {
            await discardBody(incoming, maxBodyBytes, Math.max(0, endMs - scheduler.nowMs()), scheduler);
        }
        const routeTable = this.options.routeTable();
        const denial = routeTable === undefined || this.phase === "closed"
            ? undefined
            : this.admit(routeTable, call).match(() => undefined, refusal => refusal);
        if (denial !== undefined) {
            body.fail("body_timeout");
        }
        return denial;
    }

    private admit(routeTable: RouteTable, call: RelayCall) {
        return admitRelayCall(routeTable, call).mapErr(({ status, reason }): RelayRefusal => {
            const message = reason === "no-route" ? `no route of host ${call.host} matches the path` : "the key is missing or unknown";
            return { status, reason, outcome: "not-run", message: `${message} (configuration version ${routeTable.version})` };
        });
    }

    private logDisconnect(call: RelayCall | undefined): void {
        log("caller disconnected before its call was read; nothing was sent to an upstream", {
            requestId: call?.requestId,
            phase: this.phase,
        });
    }

    private recordClosedConnection(reason: string): void {
        log("caller's connection closed to protect this VM", {
            reason,
            connections: this.callerConnections.size,
            callerMemoryBytes: this.budget.usedBytes,
        });
        this.options.onConnectionClosed?.(reason);
    }

    private async relay(
        call: RelayCall,
        received: {
            readonly incoming: IncomingMessage;
            readonly outgoing: ServerResponse;
            readonly body: Buffer | undefined;
            readonly arrivedMs: number;
            readonly disconnectSignal: AbortSignal;
        },
    ): Promise<void> {
        const routeTable = this.options.routeTable();
        const refusal = this.buildUnavailableRefusal(routeTable !== undefined);
        if (refusal !== undefined || routeTable === undefined) {
            this.refuse(received.outgoing, call, refusal as RelayRefusal);
            return;
        }
        const admitted = this.admit(routeTable, call);
        if (admitted.isErr()) {
            this.refuse(received.outgoing, call, admitted.error);
            return;
        }
        const { route, customer, tier } = admitted.value;
        const deadlineMs = received.arrivedMs + Math.min(route.timeoutMs, call.patienceMs ?? Infinity);
        if (!mayTakeCallWhileStopping(route.kind, deadlineMs, this.exitMs)) {
            this.refuse(received.outgoing, call, stoppingRefusal);
            return;
        }
        if (this.runningCalls >= this.load.maxCalls) {
            this.refuse(received.outgoing, call, tooManyCallsRefusal);
            return;
        }
        const exitSignal = this.exitController.signal;
        this.runningCalls++;
        try {
            await new RelayCallHandler(this.options, { ...received, call, route, customer, tier, routeTable, exitSignal }).run();
        }
        finally {
            this.runningCalls--;
        }
    }

    private buildUnavailableRefusal(isConfigured: boolean): RelayRefusal | undefined {
        if (this.phase === "closed") {
            return stoppingRefusal;
        }
        if (!isConfigured) {
            const message = "this VM has no configuration yet; send the call again";
            return { status: 503, reason: "not_ready", outcome: "not-run", message, retryAfterMs: retryAfterMs.starting };
        }
        return undefined;
    }

    private refuse(outgoing: ServerResponse, call: RelayCall | undefined, refusal: RelayRefusal): void {
        log("refused", {
            requestId: call?.requestId,
            status: refusal.status,
            reason: refusal.reason,
            configVersion: this.options.routeTable()?.version,
            phase: this.phase,
        });
        this.options.onRefusal(refusal);
        sendRefusal(outgoing, refusal, call?.requestId, this.options.dialect);
    }

    /** Refuses bytes that are no HTTP request, or no whole one in time, after the responses to the calls before them. */
    private refuseMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
        if (!socket.writable) {
            socket.destroy();
            return;
        }
        const responses = this.findOpenResponses(socket);
        const responseBefore = responses.findLast(response => response.req.complete);
        const isEndedByCaller = error.code === "HPE_INVALID_EOF_STATE";
        if (responseBefore !== undefined && !isEndedByCaller) {
            this.refuseMalformedAfter(responseBefore, error, socket);
            return;
        }
        if (responseBefore !== undefined || responses.some(response => response.headersSent)) {
            log("connection closed in the middle of a response: the bytes after its call are no HTTP request in time", {
                code: error.code,
                isEndedByCaller,
                openResponses: responses.length,
            });
            socket.destroy();
            return;
        }
        log("malformed HTTP request refused", { code: error.code });
        const status = error.code === "HPE_HEADER_OVERFLOW"
            ? "431 Request Header Fields Too Large"
            : error.code === "ERR_HTTP_REQUEST_TIMEOUT"
            ? "408 Request Timeout"
            : "400 Bad Request";
        this.options.onRefusal({ status: Number.parseInt(status, 10), reason: "malformed-http" });
        this.endingConnections.add(socket);
        socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
    }

    private refuseMalformedAfter(responseBefore: ServerResponse, error: NodeJS.ErrnoException, socket: Socket): void {
        if (this.pendingRefusals.has(socket)) {
            return;
        }
        this.pendingRefusals.add(socket);
        log("malformed HTTP request received; refusing it after the response before it", { code: error.code });
        responseBefore.once("close", () => {
            this.pendingRefusals.delete(socket);
            // A call that was late may have arrived meanwhile.
            if (!this.findOpenResponses(socket).some(response => response.req.complete)) {
                this.refuseMalformed(error, socket);
            }
        });
    }

    private findOpenResponses(socket: Socket): ServerResponse[] {
        return [...this.openResponses.keys()].filter(response => this.openResponses.get(response) === socket && !response.closed);
    }

    /** Closes the connections that carry no response, and ends the drain after the last response. */
    private continueDrain(): void {
        if (this.phase !== "closed") {
            return;
        }
        // Node.js counts a connection as idle as soon as its response has ended.
        if (![...this.openResponses.keys()].some(response => response.writableEnded)) {
            this.server.closeIdleConnections();
        }
        if (this.openResponses.size === 0) {
            for (const resolve of this.drainResolvers.splice(0)) {
                resolve();
            }
        }
    }
}

/** Whether this VM is ready or stopping, and what the configuration says of the call, is decided when the body has arrived. */
function findHeadRefusal(incoming: IncomingMessage): RelayRefusal | undefined {
    if (incoming.rawHeaders.length / 2 <= callerLoadLimits.maxHeaderFields) {
        return undefined;
    }
    const message = `the request has more than ${callerLoadLimits.maxHeaderFields} header fields; send fewer`;
    return { status: 431, reason: "too_many_fields", outcome: "not-run", message };
}

/** Aborts when the connection closes before the complete response has been written to it. */
function createDisconnectSignal(outgoing: ServerResponse): AbortSignal {
    const controller = new AbortController();
    outgoing.once("close", () => {
        if (!outgoing.writableFinished) {
            controller.abort();
        }
    });
    return controller.signal;
}
