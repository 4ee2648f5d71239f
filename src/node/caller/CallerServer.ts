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
const disconnectReason = "the caller closed its connection";
/** Limit of unsent response bytes buffered for a slow caller. They are held in many small buffers, which take several times as much memory. */
const responseBufferBytes = 8 * 1024;
const keepAliveTimeoutMs = 65_000;
const keepAliveProbeDelayMs = 15_000;
const retryShare = { retriesPerSecond: 5, maxSavedRetries: 50 };
const retryBudgetOptions = { retriesPerRequest: 0.2, initialSavedRetries: retryShare.maxSavedRetries, getShare: () => retryShare };
const notReadyRetryAfterMs = 1_000;

type Bindings = { Bindings: HttpBindings; };
type RequestHandler = (request: CallerRequest, summary: CallSummary) => Promise<void>;

/** HTTP API of a VM for callers. */
export class CallerServer {
    private readonly dependencies: CallDependencies;
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();
    private keyIndex: { readonly customers: ReadonlyMap<string, Customer>; readonly index: CustomerKeyIndex; } | undefined;
    private activeCount = 0;
    private isDraining = false;
    private isReadinessProbeFailing = false;
    private idleWaiters: (() => void)[] = [];

    constructor(options: CallerServerOptions) {
        const retryBudget = new RetryBudget(options.scheduler, retryBudgetOptions);
        this.dependencies = {
            ...options,
            callerLimits: { ...defaultCallerLimits, ...options.callerLimits },
            retryBudget,
            circuitBreakers: new CircuitBreakerRegistry(options.scheduler),
            trackInFlight: operation => this.trackInFlight(operation),
        };
        this.server = this.createServer();
    }

    /** Number of requests and tracked operations in flight. */
    get activeRequestCount(): number {
        return this.activeCount;
    }

    /** Listens until `signal` aborts. Resolves with the base URL. */
    start(signal: AbortSignal): ResultAsync<string, CallerServerError> {
        if (signal.aborted) {
            return errAsync({ kind: "not-started", message: "the caller API was stopped before it started" });
        }
        signal.addEventListener("abort", () => {
            this.close();
        }, { once: true });
        return ResultAsync.fromPromise(this.listen(), error => ({
            kind: "not-listening",
            message: `cannot listen for callers on ${this.dependencies.host}:${this.dependencies.port} (${
                String((error as NodeJS.ErrnoException).code)
            }); choose a free port`,
        }));
    }

    /** Makes `/readyz` report not ready, so that the load balancer sends no more callers here. Requests that still arrive are served until `drain`. */
    failReadinessProbe(): void {
        this.isReadinessProbeFailing = true;
    }

    /** Rejects new requests with status 503. Resolves when all requests in flight have ended; none is aborted. */
    drain(): Promise<void> {
        this.isDraining = true;
        return new Promise(resolve => {
            this.idleWaiters.push(resolve);
            this.resolveIdleWaiters();
        });
    }

    private createServer(): Server {
        const { callerLimits, tls } = this.dependencies;
        const options = {
            maxHeaderSize: callerLimits.maxHeaderBytes,
            headersTimeout: callerLimits.headersTimeoutMs,
            requestTimeout: callerLimits.requestTimeoutMs,
            connectionsCheckingInterval: Math.min(1_000, callerLimits.headersTimeoutMs),
            keepAliveTimeout: keepAliveTimeoutMs,
            noDelay: true,
            highWaterMark: responseBufferBytes,
            keepAlive: true,
            keepAliveInitialDelay: keepAliveProbeDelayMs,
        };
        const listener = getRequestListener(this.createApp().fetch as Parameters<typeof getRequestListener>[0], {
            overrideGlobalObjects: false,
            autoCleanupIncoming: false,
            // Used for HTTP/1.0 requests, which may have no Host header.
            hostname: this.dependencies.vm,
        });
        const responses = new WeakMap<Socket, ServerResponse>();
        const handle = (incoming: IncomingMessage, outgoing: ServerResponse) => {
            responses.set(incoming.socket, outgoing);
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
            if (!socket.writable || responses.get(socket)?.headersSent === true) {
                socket.destroy();
                return;
            }
            rejectMalformedRequest(error, socket, this.dependencies.createRequestId());
        });
        return server;
    }

    private createApp(): Hono<Bindings> {
        const app = new Hono<Bindings>();
        app.get("/healthz", context => context.json({ status: "ok" }));
        app.get(
            "/readyz",
            context =>
                this.isReady() && !this.isReadinessProbeFailing
                    ? context.json({ status: "ready" })
                    : context.json({ status: "not-ready" }, 503),
        );
        app.get("/v1/models", context => this.listModels(context.env));
        app.post(
            "/v1/chat/completions",
            context => this.handleRequest(context.env, (request, summary) => this.serveCompletion(request, summary, true)),
        );
        app.post(
            "/v1/completions",
            context => this.handleRequest(context.env, (request, summary) => this.serveCompletion(request, summary, false)),
        );
        app.all(
            "/services/:service/*",
            context => this.handleRequest(context.env, (request, summary) => this.servePlainService(request, summary)),
        );
        app.all(
            "/services/:service",
            context => this.handleRequest(context.env, (request, summary) => this.servePlainService(request, summary)),
        );
        app.notFound(context => {
            const { incoming, outgoing } = context.env;
            const error = new CallerError(
                { status: 404, code: "not_found", outcome: "not-run" },
                "no such endpoint; see the list of endpoints in the documentation",
            );
            sendCallerError(outgoing, error, this.dependencies.createRequestId(), !incoming.complete);
            return RESPONSE_ALREADY_SENT;
        });
        return app;
    }

    private isReady(): boolean {
        return !this.isDraining && this.dependencies.config.isReady && this.dependencies.isReady();
    }

    /** Authenticates a request, runs `handler` and reports how the request ended. */
    private async handleRequest({ incoming, outgoing }: HttpBindings, handler: RequestHandler): Promise<Response> {
        const serverResponse = outgoing as ServerResponse;
        const incomingMessage = incoming as IncomingMessage;
        const requestId = this.dependencies.createRequestId();
        const arrivedMs = this.dependencies.scheduler.nowMs();
        const identified = this.identify(incomingMessage, serverResponse, requestId, arrivedMs);
        if (identified.isErr()) {
            sendCallerError(serverResponse, identified.error, requestId, !incomingMessage.complete || this.isDraining);
            return RESPONSE_ALREADY_SENT;
        }
        this.activeCount++;
        const summary = createCallSummary();
        try {
            recordDecision(this.dependencies, identified.value, "received", { customer: identified.value.customer.name });
            await handler(identified.value, summary);
        }
        catch (error) {
            log("unexpected error while serving a request; sending status 500 unless a response has started", {
                requestId,
                error: error instanceof Error ? error.name : typeof error,
            });
            const outcome = summary.attempts === 0 ? "not-run" : "unknown";
            sendCallerError(
                serverResponse,
                new CallerError({ status: 500, code: "internal", outcome }, "internal error in the router; report the request ID"),
                requestId,
                true,
            );
        }
        this.finish(identified.value, summary);
        return RESPONSE_ALREADY_SENT;
    }

    private finish(request: CallerRequest, summary: CallSummary): void {
        const { requestId, customer, serviceClass, arrivedMs, disconnectSignal: disconnected } = request;
        const totalMs = this.dependencies.scheduler.nowMs() - arrivedMs;
        this.dependencies.observer.requestEnded({
            ...summary,
            requestId,
            customer: customer.name,
            serviceClass: serviceClass.name,
            totalMs,
            isAbandoned: disconnected.aborted,
        });
        if (!summary.isComplete) {
            const { status, errorCode, outcome, attempts, upstreamId } = summary;
            log("request failed", {
                requestId,
                status,
                errorCode,
                outcome,
                attempts,
                upstream: upstreamId,
                isAbandoned: disconnected.aborted,
            });
        }
        recordDecision(this.dependencies, request, summary.isComplete ? "finished" : "refused", {
            status: summary.status,
            outcome: summary.outcome,
            tokens: summary.tokens,
            wastedTokens: summary.wastedTokens,
            totalMs: Math.round(totalMs),
        });
        this.endInFlight();
    }

    private async trackInFlight<T>(operation: Promise<T>): Promise<T> {
        this.activeCount++;
        try {
            return await operation;
        }
        finally {
            this.endInFlight();
        }
    }

    private endInFlight(): void {
        this.activeCount--;
        this.resolveIdleWaiters();
    }

    private resolveIdleWaiters(): void {
        if (this.isDraining && this.activeCount === 0) {
            for (const resolve of this.idleWaiters.splice(0)) {
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
                ? "this VM is draining; send the request again"
                : "this VM has no configuration yet; send the request again";
            return err(
                new CallerError({ status: 503, code: "not_ready", outcome: "not-run", retryAfterMs: notReadyRetryAfterMs }, message),
            );
        }
        const { view } = this.dependencies.config;
        const customer = this.authenticate(incoming, view.customers);
        if (customer === undefined) {
            return err(
                new CallerError(
                    { status: 401, code: "invalid_api_key", outcome: "not-run" },
                    "the bearer key is missing or unknown; check the Authorization header",
                ),
            );
        }
        const serviceClass = findPermittedClass(customer, incoming.headers[classHeader], view.serviceClasses);
        if (serviceClass === undefined) {
            return err(
                new CallerError(
                    { status: 403, code: "class_not_permitted", outcome: "not-run" },
                    `the service class does not exist or is not permitted for this customer; set ${classHeader} to a permitted one`,
                ),
            );
        }
        return ok({
            requestId,
            incoming,
            outgoing,
            customer,
            serviceClass,
            view,
            arrivedMs,
            disconnectSignal: createDisconnectSignal(outgoing),
        });
    }

    private authenticate(incoming: IncomingMessage, customers: ReadonlyMap<string, Customer>): Customer | undefined {
        if (this.keyIndex?.customers !== customers) {
            this.keyIndex = { customers, index: new CustomerKeyIndex(customers.values()) };
        }
        const match = /^Bearer +(\S+)$/i.exec(incoming.headers.authorization ?? "");
        return match?.[1] === undefined ? undefined : this.keyIndex.index.find(match[1]);
    }

    private async serveCompletion(request: CallerRequest, summary: CallSummary, isChat: boolean): Promise<void> {
        const bufferedBody = await bufferRequestBody(request.incoming, this.dependencies.callerLimits.maxBufferedBodyBytes);
        const body = bufferedBody.andThen(bytes => parseCompletionRequest(bytes, isChat));
        if (body.isErr()) {
            this.rejectRequest(request, summary, body.error);
            return;
        }
        const writer = body.value.stream === true
            ? new StreamingCompletionWriter(
                request.outgoing,
                request.requestId,
                this.dependencies.scheduler,
                this.dependencies.callerLimits.callerStallTimeoutMs,
            )
            : new BufferedCompletionWriter(request.outgoing, request.requestId, isChat);
        const endpoint = isChat ? "/v1/chat/completions" : "/v1/completions";
        await new CompletionCall(this.dependencies, request, { endpoint, body: body.value, writer }, summary).run();
    }

    private async servePlainService(request: CallerRequest, summary: CallSummary): Promise<void> {
        const [, , encodedService = "", ...rest] = (request.incoming.url ?? "/").split("/");
        const [service = "", query] = encodedService.split("?");
        const target = rest.length > 0 ? `/${rest.join("/")}` : `/${query === undefined ? "" : `?${query}`}`;
        await new PlainCall(this.dependencies, request, { service: decodeName(service), target }, summary).run();
    }

    /** Lists the models of all engine pools. Not reported to the observer, since it belongs to no service class. */
    private listModels({ incoming, outgoing }: HttpBindings): Response {
        const requestId = this.dependencies.createRequestId();
        const response = outgoing as ServerResponse;
        const identified = this.identify(incoming as IncomingMessage, response, requestId, this.dependencies.scheduler.nowMs());
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

    private rejectRequest(request: CallerRequest, summary: CallSummary, error: CallerError): void {
        summary.status = error.status;
        summary.errorCode = error.code;
        sendCallerError(request.outgoing, error, request.requestId, !request.incoming.complete);
    }

    private listen(): Promise<string> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(this.dependencies.port, this.dependencies.host, () => {
                const { port } = this.server.address() as AddressInfo;
                const scheme = this.dependencies.tls === undefined ? "http" : "https";
                resolve(`${scheme}://${this.dependencies.host}:${port}`);
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

function findPermittedClass(
    customer: Customer,
    header: string | string[] | undefined,
    classes: ReadonlyMap<string, ServiceClass>,
): ServiceClass | undefined {
    const name = header ?? customer.defaultClass;
    return typeof name === "string" && customer.classes.includes(name) ? classes.get(name) : undefined;
}

/** Returns a signal that aborts when the connection closes before the response has been completely written. */
function createDisconnectSignal(outgoing: ServerResponse): AbortSignal {
    const disconnection = new AbortController();
    outgoing.on("close", () => {
        if (!outgoing.writableFinished) {
            disconnection.abort(disconnectReason);
        }
    });
    return disconnection.signal;
}

function decodeName(name: string): string {
    try {
        return decodeURIComponent(name);
    }
    catch {
        return name;
    }
}

/** Responds to a request that the HTTP parser rejected because it is malformed, has oversized headers or arrived too slowly. */
function rejectMalformedRequest(error: NodeJS.ErrnoException, socket: Socket, requestId: string): void {
    const statuses: Record<string, string> = {
        HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
        ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
    };
    const status = statuses[error.code ?? ""] ?? "400 Bad Request";
    const code = status.slice(4).toLowerCase().replaceAll(" ", "_");
    const body = JSON.stringify({
        error: {
            message: "the request is malformed, has oversized headers or arrived too slowly; it was not run",
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
