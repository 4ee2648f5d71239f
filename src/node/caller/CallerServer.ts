import { getRequestListener, type HttpBindings } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { Hono } from "hono";
import { err, errAsync, ok, type Result, ResultAsync } from "neverthrow";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { AddressInfo, Socket } from "node:net";
import { CircuitBreakerRegistry } from "../../core/retry/CircuitBreakerRegistry.js";
import { RetryBudget } from "../../core/retry/RetryBudget.js";
import type { Customer } from "../../schema/config/Customer.js";
import type { ServiceClass } from "../../schema/config/ServiceClass.js";
import { createLogger } from "../logs/createLogger.js";
import { BufferedCompletionWriter } from "./BufferedCompletionWriter.js";
import { bufferRequestBody } from "./bufferRequestBody.js";
import type { CallDependencies } from "./CallDependencies.js";
import { CallerError } from "./CallerError.js";
import type { CallerRequest } from "./CallerRequest.js";
import type { CallerServerError } from "./CallerServerError.js";
import type { CallerServerOptions } from "./CallerServerOptions.js";
import type { CallSummary } from "./CallSummary.js";
import { CompletionCall } from "./CompletionCall.js";
import { createCallSummary } from "./createCallSummary.js";
import { CustomerKeyIndex } from "./CustomerKeyIndex.js";
import { defaultCallerLimits } from "./defaultCallerLimits.js";
import { parseCompletionRequest } from "./parseCompletionRequest.js";
import { PlainCall } from "./PlainCall.js";
import { recordDecision } from "./recordDecision.js";
import { sendCallerError } from "./sendCallerError.js";
import { StreamingCompletionWriter } from "./StreamingCompletionWriter.js";

const log = createLogger("caller");
const classHeader = "x-orioleshelf-class";
const callerGone = "the caller has gone";
/** Bytes of an answer that may wait for a slow caller. They are many small buffers, which take several times as much memory. */
const callerBufferBytes = 8 * 1024;
const keepAliveTimeoutMs = 65_000;
const keepAliveProbeMs = 15_000;
const retryBudgetOptions = { retriesPerRequest: 0.2, minRetriesPerSecond: 5, maxSavedRetries: 50 };
const drainRetryAfterMs = 1_000;

type Bindings = { Bindings: HttpBindings; };
type Serve = (request: CallerRequest, summary: CallSummary) => Promise<void>;

/** The callers' HTTP API of one VM. */
export class CallerServer {
    private readonly parts: CallDependencies;
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();
    private keyIndex: { readonly customers: ReadonlyMap<string, Customer>; readonly index: CustomerKeyIndex; } | undefined;
    private active = 0;
    private isDraining = false;
    private isLeaving = false;
    private onIdle: (() => void)[] = [];

    constructor(options: CallerServerOptions) {
        const retryBudget = new RetryBudget(options.scheduler, retryBudgetOptions);
        this.parts = {
            ...options,
            callerLimits: { ...defaultCallerLimits, ...options.callerLimits },
            retryBudget,
            breakers: new CircuitBreakerRegistry(options.scheduler),
            trackInFlight: work => this.holdDrain(work),
        };
        this.server = this.createServer();
    }

    /** Requests that have not been answered to their end. */
    get activeRequestCount(): number {
        return this.active;
    }

    /** Listens until `signal` aborts; resolves with the base URL. */
    start(signal: AbortSignal): ResultAsync<string, CallerServerError> {
        if (signal.aborted) {
            return errAsync({ kind: "not-started", message: "the caller API was stopped before it started" });
        }
        signal.addEventListener("abort", () => {
            this.close();
        }, { once: true });
        return ResultAsync.fromPromise(this.listen(), error => ({
            kind: "not-listening",
            message: `cannot listen for callers on ${this.parts.host}:${this.parts.port} (${
                String((error as NodeJS.ErrnoException).code)
            }); choose a free port`,
        }));
    }

    /** Tells the balancer by `/readyz` to send no more callers here; those that still come are served until `drain`. */
    failReadinessProbe(): void {
        this.isLeaving = true;
    }

    /** Takes no new work, and resolves when every request in flight has been answered to its end. Cuts none off. */
    drain(): Promise<void> {
        this.isDraining = true;
        return new Promise(resolve => {
            this.onIdle.push(resolve);
            this.settleIdle();
        });
    }

    private createServer(): Server {
        const { callerLimits, tls } = this.parts;
        const options = {
            maxHeaderSize: callerLimits.maxHeaderBytes,
            headersTimeout: callerLimits.headersTimeoutMs,
            requestTimeout: callerLimits.requestTimeoutMs,
            connectionsCheckingInterval: Math.min(1_000, callerLimits.headersTimeoutMs),
            keepAliveTimeout: keepAliveTimeoutMs,
            noDelay: true,
            highWaterMark: callerBufferBytes,
            keepAlive: true,
            keepAliveInitialDelay: keepAliveProbeMs,
        };
        const listener = getRequestListener(this.createApp().fetch as Parameters<typeof getRequestListener>[0], {
            overrideGlobalObjects: false,
            autoCleanupIncoming: false,
            // For callers of HTTP/1.0, which may send no Host header.
            hostname: this.parts.vm,
        });
        const answers = new WeakMap<Socket, ServerResponse>();
        const handle = (incoming: IncomingMessage, outgoing: ServerResponse) => {
            answers.set(incoming.socket, outgoing);
            void listener(incoming, outgoing);
        };
        const server = tls === undefined
            ? createServer(options, handle)
            : createTlsServer({ ...options, cert: tls.certificate, key: tls.key }, handle);
        server.on("connection", (socket: Socket) => {
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
        });
        server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
            if (!socket.writable || answers.get(socket)?.headersSent === true) {
                socket.destroy();
                return;
            }
            refuseMalformed(error, socket, this.parts.newRequestId());
        });
        return server;
    }

    private createApp(): Hono<Bindings> {
        const app = new Hono<Bindings>();
        app.get("/healthz", context => context.json({ status: "ok" }));
        app.get(
            "/readyz",
            context => this.isReady() && !this.isLeaving ? context.json({ status: "ready" }) : context.json({ status: "not-ready" }, 503),
        );
        app.get("/v1/models", context => this.listModels(context.env));
        app.post("/v1/chat/completions", context => this.answer(context.env, (request, summary) => this.complete(request, summary, true)));
        app.post("/v1/completions", context => this.answer(context.env, (request, summary) => this.complete(request, summary, false)));
        app.all("/services/:service/*", context => this.answer(context.env, (request, summary) => this.callService(request, summary)));
        app.all("/services/:service", context => this.answer(context.env, (request, summary) => this.callService(request, summary)));
        app.notFound(context => {
            const { incoming, outgoing } = context.env;
            const fault = new CallerError(
                { status: 404, code: "not_found", outcome: "not-run" },
                "nothing is served here; see the list of calls in the documents",
            );
            sendCallerError(outgoing, fault, this.parts.newRequestId(), !incoming.complete);
            return RESPONSE_ALREADY_SENT;
        });
        return app;
    }

    private isReady(): boolean {
        return !this.isDraining && this.parts.config.isReady && this.parts.isReady();
    }

    /** Runs one request from its head to the end of its answer. */
    private async answer({ incoming, outgoing }: HttpBindings, serve: Serve): Promise<Response> {
        const plainOutgoing = outgoing as ServerResponse;
        const plainIncoming = incoming as IncomingMessage;
        const requestId = this.parts.newRequestId();
        const arrivedMs = this.parts.scheduler.nowMs();
        const identified = this.identify(plainIncoming, plainOutgoing, requestId, arrivedMs);
        if (identified.isErr()) {
            sendCallerError(plainOutgoing, identified.error, requestId, !plainIncoming.complete || this.isDraining);
            return RESPONSE_ALREADY_SENT;
        }
        this.active++;
        const summary = createCallSummary();
        try {
            recordDecision(this.parts, identified.value, "received", { customer: identified.value.customer.name });
            await serve(identified.value, summary);
        }
        catch (error) {
            log("request failed unexpectedly", { requestId, error: error instanceof Error ? error.name : typeof error });
            const outcome = summary.attempts === 0 ? "not-run" : "unknown";
            sendCallerError(
                plainOutgoing,
                new CallerError({ status: 500, code: "internal", outcome }, "the router failed on this request; report its id"),
                requestId,
                true,
            );
        }
        this.finish(identified.value, summary);
        return RESPONSE_ALREADY_SENT;
    }

    private finish(request: CallerRequest, summary: CallSummary): void {
        const { requestId, customer, serviceClass, arrivedMs, disconnectSignal: gone } = request;
        const totalMs = this.parts.scheduler.nowMs() - arrivedMs;
        this.parts.observer.requestEnded({
            ...summary,
            requestId,
            customer: customer.name,
            serviceClass: serviceClass.name,
            totalMs,
            isAbandoned: gone.aborted,
        });
        if (!summary.isComplete) {
            const { status, errorCode, outcome, attempts, upstreamId } = summary;
            log("request failed", { requestId, status, errorCode, outcome, attempts, upstream: upstreamId, isAbandoned: gone.aborted });
        }
        recordDecision(this.parts, request, summary.isComplete ? "finished" : "refused", {
            status: summary.status,
            outcome: summary.outcome,
            tokens: summary.tokens,
            wastedTokens: summary.wastedTokens,
            totalMs: Math.round(totalMs),
        });
        this.release();
    }

    private async holdDrain<T>(work: Promise<T>): Promise<T> {
        this.active++;
        try {
            return await work;
        }
        finally {
            this.release();
        }
    }

    private release(): void {
        this.active--;
        this.settleIdle();
    }

    private settleIdle(): void {
        if (this.isDraining && this.active === 0) {
            for (const resolve of this.onIdle.splice(0)) {
                resolve();
            }
        }
    }

    private identify(
        incoming: IncomingMessage,
        outgoing: ServerResponse,
        requestId: string,
        arrivedMs: number,
    ): Result<CallerRequest, CallerError> {
        if (!this.isReady()) {
            const message = this.isDraining
                ? "this VM is stopping; send the request again"
                : "this VM has no configuration yet; send the request again";
            return err(new CallerError({ status: 503, code: "not_ready", outcome: "not-run", retryAfterMs: drainRetryAfterMs }, message));
        }
        const { view } = this.parts.config;
        const customer = this.authenticate(incoming, view.customers);
        if (customer === undefined) {
            return err(
                new CallerError(
                    { status: 401, code: "invalid_api_key", outcome: "not-run" },
                    "the bearer key is missing or unknown; check the Authorization header",
                ),
            );
        }
        const serviceClass = permittedClass(customer, incoming.headers[classHeader], view.serviceClasses);
        if (serviceClass === undefined) {
            return err(
                new CallerError(
                    { status: 403, code: "class_not_permitted", outcome: "not-run" },
                    `this class does not exist or the customer may not use it; set ${classHeader} to a permitted one`,
                ),
            );
        }
        return ok({ requestId, incoming, outgoing, customer, serviceClass, view, arrivedMs, disconnectSignal: goneSignal(outgoing) });
    }

    private authenticate(incoming: IncomingMessage, customers: ReadonlyMap<string, Customer>): Customer | undefined {
        if (this.keyIndex?.customers !== customers) {
            this.keyIndex = { customers, index: new CustomerKeyIndex(customers.values()) };
        }
        const match = /^Bearer +(\S+)$/i.exec(incoming.headers.authorization ?? "");
        return match?.[1] === undefined ? undefined : this.keyIndex.index.find(match[1]);
    }

    private async complete(request: CallerRequest, summary: CallSummary, isChat: boolean): Promise<void> {
        const held = await bufferRequestBody(request.incoming, this.parts.callerLimits.maxBufferedBodyBytes);
        const body = held.andThen(bytes => parseCompletionRequest(bytes, isChat));
        if (body.isErr()) {
            this.refuse(request, summary, body.error);
            return;
        }
        const sink = body.value.stream === true
            ? new StreamingCompletionWriter(
                request.outgoing,
                request.requestId,
                this.parts.scheduler,
                this.parts.callerLimits.callerStallTimeoutMs,
            )
            : new BufferedCompletionWriter(request.outgoing, request.requestId, isChat);
        const endpoint = isChat ? "/v1/chat/completions" : "/v1/completions";
        await new CompletionCall(this.parts, request, { endpoint, body: body.value, sink }, summary).run();
    }

    private async callService(request: CallerRequest, summary: CallSummary): Promise<void> {
        const [, , encodedService = "", ...rest] = (request.incoming.url ?? "/").split("/");
        const [service = "", query] = encodedService.split("?");
        const target = rest.length > 0 ? `/${rest.join("/")}` : `/${query === undefined ? "" : `?${query}`}`;
        await new PlainCall(this.parts, request, { service: decodeName(service), target }, summary).run();
    }

    /** Answers by itself; it is no work of a class, so the observer is not told of it. */
    private listModels({ incoming, outgoing }: HttpBindings): Response {
        const requestId = this.parts.newRequestId();
        const response = outgoing as ServerResponse;
        const identified = this.identify(incoming as IncomingMessage, response, requestId, this.parts.scheduler.nowMs());
        if (identified.isErr()) {
            sendCallerError(response, identified.error, requestId, this.isDraining);
            return RESPONSE_ALREADY_SENT;
        }
        const pools = [...identified.value.view.pools.values()];
        const names = new Set(pools.filter(pool => pool.kind === "engine").flatMap(pool => pool.services));
        const data = [...names].sort().map(id => ({ id, object: "model", created: 0, owned_by: "orioleshelf" }));
        response.writeHead(200, { "content-type": "application/json", "x-request-id": requestId });
        response.end(JSON.stringify({ object: "list", data }));
        return RESPONSE_ALREADY_SENT;
    }

    private refuse(request: CallerRequest, summary: CallSummary, fault: CallerError): void {
        summary.status = fault.status;
        summary.errorCode = fault.code;
        sendCallerError(request.outgoing, fault, request.requestId, !request.incoming.complete);
    }

    private listen(): Promise<string> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(this.parts.port, this.parts.host, () => {
                const { port } = this.server.address() as AddressInfo;
                const scheme = this.parts.tls === undefined ? "http" : "https";
                resolve(`${scheme}://${this.parts.host}:${port}`);
            });
        });
    }

    private close(): void {
        this.server.close();
        for (const socket of this.sockets) {
            socket.destroy();
        }
    }
}

function permittedClass(
    customer: Customer,
    header: string | string[] | undefined,
    classes: ReadonlyMap<string, ServiceClass>,
): ServiceClass | undefined {
    const name = header ?? customer.defaultClass;
    return typeof name === "string" && customer.classes.includes(name) ? classes.get(name) : undefined;
}

/** Aborts when the connection closes before the answer has been written whole. */
function goneSignal(outgoing: ServerResponse): AbortSignal {
    const gone = new AbortController();
    outgoing.on("close", () => {
        if (!outgoing.writableFinished) {
            gone.abort(callerGone);
        }
    });
    return gone.signal;
}

function decodeName(name: string): string {
    try {
        return decodeURIComponent(name);
    }
    catch {
        return name;
    }
}

/** Answers what the HTTP parser refused: malformed or oversized heads, and senders that were too slow. */
function refuseMalformed(error: NodeJS.ErrnoException, socket: Socket, requestId: string): void {
    const statuses: Record<string, string> = {
        HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
        ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
    };
    const status = statuses[error.code ?? ""] ?? "400 Bad Request";
    const code = status.slice(4).toLowerCase().replaceAll(" ", "_");
    const body = JSON.stringify({
        error: {
            message: "the request head is malformed, too large or too slow; nothing was run",
            type: "invalid_request_error",
            code,
            outcome: "not-run",
            request_id: requestId,
        },
    });
    socket.end(
        `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-type: application/json\r\nx-orioleshelf-outcome: not-run\r\nx-request-id: ${requestId}\r\ncontent-length: ${
            Buffer.byteLength(body)
        }\r\n\r\n${body}`,
    );
}
