import { createServer, type IncomingMessage, type Server } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { AddressInfo, Socket } from "node:net";
import { type WebSocket, WebSocketServer } from "ws";
import { peerCompression } from "./peerCompression.js";
import type { PeerTls } from "./PeerTls.js";

const httpLimits = { maxHeaderSize: 4096, headersTimeout: 2000, requestTimeout: 2000, connectionsCheckingInterval: 1000 };

/**
 * Connections that have not been upgraded to a WebSocket. VMs upgrade theirs with the first bytes, but a seed may accept those of a third of a
 * fleet of 300 VMs in one turn of the event loop when all start at once.
 */
const defaultMaxHttpConnections = 192;

interface PeerServerOptions {
    readonly host: string;
    /** 0 selects any free port. */
    readonly port: number;
    readonly tls: PeerTls | undefined;
    readonly maxFrameBytes: number;
    readonly maxHttpConnections?: number;
    readonly onSocket: (socket: WebSocket, transport: Socket) => void;
}

/** Listens for peer connections until `signal` aborts; resolves with the port, and rejects if it cannot be opened. */
export function openPeerServer(options: PeerServerOptions, signal: AbortSignal): Promise<number> {
    const { tls } = options;
    const server: Server = tls === undefined
        ? createServer(httpLimits)
        : createTlsServer({ ...httpLimits, cert: tls.certificate, key: tls.privateKey, ca: tls.certificateAuthority });
    server.on("request", (request, response) => {
        request.resume();
        response.writeHead(426, { connection: "close" }).end();
    });
    const maxHttpConnections = options.maxHttpConnections ?? defaultMaxHttpConnections;
    // By the address of the client: with TLS, requests have another socket than the one that was accepted.
    const httpSockets = new Map<string, Socket>();
    server.on("connection", (socket: Socket) => {
        const address = formatRemoteAddress(socket);
        httpSockets.set(address, socket);
        socket.once("close", () => {
            if (httpSockets.get(address) === socket) {
                httpSockets.delete(address);
            }
        });
        const [oldest] = httpSockets;
        if (oldest !== undefined && httpSockets.size > maxHttpConnections) {
            httpSockets.delete(oldest[0]);
            oldest[1].resetAndDestroy();
        }
    });
    server.on("upgrade", ({ socket }: IncomingMessage) => {
        httpSockets.delete(formatRemoteAddress(socket));
    });
    const socketServer = new WebSocketServer({ server, maxPayload: options.maxFrameBytes, perMessageDeflate: peerCompression });
    socketServer.on("connection", (socket, request) => {
        options.onSocket(socket, request.socket);
    });
    socketServer.on("error", () => undefined);
    signal.addEventListener("abort", () => {
        server.close();
        server.closeAllConnections();
    }, { once: true });
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(options.port, options.host, () => {
            resolve((server.address() as AddressInfo).port);
        });
    });
}

function formatRemoteAddress({ remoteAddress, remotePort }: Socket): string {
    return `${remoteAddress} ${remotePort}`;
}
