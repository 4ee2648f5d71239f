import { connectNodeAdapter } from "@connectrpc/connect-node";
import { ResultAsync } from "neverthrow";
import { readFileSync } from "node:fs";
import { createServer as createHttpServer, type Server as HttpServer } from "node:http";
import { createSecureServer, createServer as createHttp2Server } from "node:http2";
import { type AddressInfo, createServer as createNetServer, type Server, type Socket } from "node:net";
import type { ListenSettings } from "../../schema/settings/ListenSettings.js";
import { createLogger } from "../logs/createLogger.js";
import { createOperatorRoutes } from "./createOperatorRoutes.js";
import { createProbeHandler } from "./createProbeHandler.js";
import { createTokenInterceptor } from "./createTokenInterceptor.js";
import type { OperatorServerOptions } from "./OperatorServerOptions.js";

const maxRequestBytes = 8 * 1024 * 1024;
const firstByteTimeoutMs = 10_000;
/** Start of the connection preface that every HTTP/2 client sends first. */
const http2Preface = "PRI";

const log = createLogger("operator");

/** Serves the operator RPC over gRPC, gRPC-Web, Connect and HTTP/JSON on one port. */
export class OperatorServer {
    private readonly sockets = new Set<Socket>();

    constructor(private readonly options: OperatorServerOptions) {}

    /** Listens until `signal` aborts, then closes every connection. Resolves with the bound port, or fails with a message for the operator. */
    start(listen: ListenSettings, signal: AbortSignal): ResultAsync<number, string> {
        return ResultAsync.fromPromise(this.listen(listen, signal), error => {
            return `operator RPC cannot listen on ${listen.host}:${listen.port}: ${(error as Error).message}; correct listen.operator`;
        });
    }

    private async listen(listen: ListenSettings, signal: AbortSignal): Promise<number> {
        const shutdown = new AbortController();
        const handler = connectNodeAdapter({
            routes: createOperatorRoutes(this.options),
            interceptors: [createTokenInterceptor(this.options.token)],
            readMaxBytes: maxRequestBytes,
            jsonOptions: { alwaysEmitImplicit: true },
            shutdownSignal: shutdown.signal,
            fallback: createProbeHandler(this.options),
        });
        const server = listen.tls === undefined ? createUnencryptedServer(handler) : createTlsServer(listen.tls, handler);
        server.on("connection", (socket: Socket) => {
            this.trackSocket(socket);
        });
        signal.addEventListener("abort", () => {
            shutdown.abort();
            this.close(server);
        }, { once: true });
        return bindServer(server, listen);
    }

    private trackSocket(socket: Socket): void {
        this.sockets.add(socket);
        socket.once("close", () => this.sockets.delete(socket));
        socket.on("error", error => {
            log("connection failed; its socket is closed", { reason: error.message });
        });
    }

    private close(server: Server): void {
        server.close();
        for (const socket of this.sockets) {
            socket.destroy();
        }
    }
}

type Handler = ReturnType<typeof connectNodeAdapter>;

/** Without TLS there is no ALPN to negotiate the protocol, so the first bytes of a connection distinguish HTTP/2 from HTTP/1.1. */
function createUnencryptedServer(handler: Handler): Server {
    const http1: HttpServer = createHttpServer(handler);
    const http2 = createHttp2Server(handler);
    return createNetServer(socket => {
        socket.setTimeout(firstByteTimeoutMs, () => socket.destroy());
        socket.once("data", firstBytes => {
            socket.setTimeout(0);
            socket.pause();
            socket.unshift(firstBytes);
            const isHttp2 = firstBytes.subarray(0, http2Preface.length).toString("latin1") === http2Preface;
            (isHttp2 ? http2 : http1).emit("connection", socket);
            process.nextTick(() => {
                socket.resume();
            });
        });
    });
}

function createTlsServer(tls: NonNullable<ListenSettings["tls"]>, handler: Handler): Server {
    const clientAuthentication = tls.caFile === undefined
        ? {}
        : { ca: readFileSync(tls.caFile), requestCert: true, rejectUnauthorized: true };
    return createSecureServer({
        allowHTTP1: true,
        cert: readFileSync(tls.certFile),
        key: readFileSync(tls.keyFile),
        ...clientAuthentication,
    }, handler);
}

function bindServer(server: Server, listen: ListenSettings): Promise<number> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(listen.port, listen.host, () => {
            server.off("error", reject);
            resolve((server.address() as AddressInfo).port);
        });
    });
}
