import { ResultAsync } from "neverthrow";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { admitRelayCall } from "../../core/relay/admitRelayCall.js";
import type { RelayCall } from "../../schema/relay/RelayCall.js";
import { bufferRequestBody } from "../caller/bufferRequestBody.js";
import { createLogger } from "../logs/createLogger.js";
import { RelayCallHandler } from "./RelayCallHandler.js";
import type { RelayDependencies } from "./RelayDependencies.js";
import type { RelayRefusal } from "./RelayRefusal.js";
import { sendRefusal } from "./sendRefusal.js";

const log = createLogger("relay");
/** Used until a configuration tells the operator's own limits. */
const firstLimits = { headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 };
const connectionsCheckMs = 500;
/** Bytes of an answer that may wait for a slow caller before its upstream is paused. */
const callerBufferBytes = 16 * 1024;
/** When to come back to another VM, and to one that will have its configuration within a moment. */
const retryAfterMs = { stopping: 50, starting: 300 };

interface RelayServerOptions extends RelayDependencies {
    readonly host: string;
    readonly port: number;
}

/** Takes calls from callers on one port, and relays them. */
export class RelayServer {
    private readonly server: Server;
    private readonly onIdle: (() => void)[] = [];
    private active = 0;
    private phase: "open" | "leaving" | "closed" = "open";

    constructor(private readonly options: RelayServerOptions) {
        this.server = createServer({
            maxHeaderSize: firstLimits.headerBytes * 2,
            headersTimeout: firstLimits.headerTimeoutMs,
            connectionsCheckingInterval: connectionsCheckMs,
            keepAliveTimeout: firstLimits.idleTimeoutMs,
            noDelay: true,
            highWaterMark: callerBufferBytes,
        }, (incoming, outgoing) => {
            void this.serve(incoming, outgoing);
        });
        this.server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
            this.refuseMalformed(error, socket);
        });
    }

    /** Calls that have not been answered to their end. */
    get activeCalls(): number {
        return this.active;
    }

    /** Listens until `signal` aborts. */
    start(signal: AbortSignal): ResultAsync<void, string> {
        signal.addEventListener("abort", () => {
            this.server.close();
            this.server.closeAllConnections();
        }, { once: true });
        const { host, port } = this.options;
        const listening = new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, host, resolve);
        });
        return ResultAsync.fromPromise(
            listening,
            error => `cannot listen for callers on ${host}:${port} (${String(error)}); free the port`,
        );
    }

    /** Takes over limits of a new configuration. */
    setLimits(limits: { readonly headerTimeoutMs: number; readonly idleTimeoutMs: number; }): void {
        this.server.headersTimeout = limits.headerTimeoutMs;
        this.server.keepAliveTimeout = limits.idleTimeoutMs;
    }

    /** Still takes calls, but asks callers to open their next connection elsewhere. */
    disableKeepAlive(): void {
        this.phase = "leaving";
    }

    /** Takes no more calls; resolves when each one in flight has been answered to its end. */
    drain(): Promise<void> {
        this.phase = "closed";
        this.server.close();
        this.server.closeIdleConnections();
        return new Promise(resolve => {
            this.onIdle.push(resolve);
            this.settleIdle();
        });
    }

    private async serve(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
        this.active++;
        if (this.phase !== "open") {
            outgoing.setHeader("connection", "close");
        }
        try {
            await this.answer(incoming, outgoing);
        }
        catch (error) {
            log("relaying failed unexpectedly", { error: error instanceof Error ? error.stack : String(error) });
            outgoing.destroy();
        }
        finally {
            this.active--;
            this.settleIdle();
        }
    }

    private async answer(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
        const { dialect, scheduler } = this.options;
        const arrivedMs = scheduler.nowMs();
        const gone = goneSignal(outgoing);
        const decoded = dialect.decodeCall(incoming);
        const body = await bufferRequestBody(incoming, this.options.routeTable()?.config.limits.bodyBytes ?? firstLimits.bodyBytes);
        if (gone.aborted) {
            return;
        }
        if (decoded.isErr()) {
            this.refuse(outgoing, undefined, { status: 400, reason: "malformed", outcome: "not-run", message: decoded.error });
            return;
        }
        const call = decoded.value;
        if (body.isErr()) {
            const status = body.error.status === 413 ? 413 : 400;
            outgoing.setHeader("connection", "close");
            this.refuse(outgoing, call, { status, reason: body.error.code, outcome: "not-run", message: body.error.message });
            return;
        }
        await this.relay(call, {
            incoming,
            outgoing,
            body: body.value.length > 0 ? body.value : undefined,
            arrivedMs,
            disconnectSignal: gone,
        });
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
        const table = this.options.routeTable();
        const refusal = this.notNow(table !== undefined);
        if (refusal !== undefined || table === undefined) {
            this.refuse(received.outgoing, call, refusal as RelayRefusal);
            return;
        }
        const admitted = admitRelayCall(table, call);
        if (admitted.isErr()) {
            const { status, reason } = admitted.error;
            const message = reason === "no-route" ? `no route of host ${call.host} matches the path` : "the key is missing or unknown";
            this.refuse(received.outgoing, call, {
                status,
                reason,
                outcome: "not-run",
                message: `${message} (configuration ${table.version})`,
            });
            return;
        }
        const { route, customer, tier } = admitted.value;
        await new RelayCallHandler(this.options, { ...received, call, route, customer, tier, routeTable: table }).run();
    }

    private notNow(isConfigured: boolean): RelayRefusal | undefined {
        if (this.phase === "closed") {
            const message = "this VM is stopping; send the call again";
            return { status: 503, reason: "stopping", outcome: "not-run", message, retryAfterMs: retryAfterMs.stopping };
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
        sendRefusal(outgoing, refusal, call?.requestId, this.options.dialect);
    }

    private refuseMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
        if (!socket.writable || socket.bytesWritten > 0) {
            socket.destroy();
            return;
        }
        log("malformed request", { code: error.code });
        const status = error.code === "HPE_HEADER_OVERFLOW"
            ? "431 Request Header Fields Too Large"
            : error.code === "ERR_HTTP_REQUEST_TIMEOUT"
            ? "408 Request Timeout"
            : "400 Bad Request";
        socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
    }

    private settleIdle(): void {
        if (this.phase === "closed" && this.active === 0) {
            for (const resolve of this.onIdle.splice(0)) {
                resolve();
            }
        }
    }
}

/** Aborts when the connection closes before the whole answer was written to it. */
function goneSignal(outgoing: ServerResponse): AbortSignal {
    const controller = new AbortController();
    outgoing.once("close", () => {
        if (!outgoing.writableFinished) {
            controller.abort();
        }
    });
    return controller.signal;
}
