import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/**
 * How the proxy treats connections:
 * - `pass`: forwards bytes in both directions.
 * - `reset-on-accept`: resets a new connection before reading from it.
 * - `reset-after-request`: reads the first bytes of the request, forwards none of them, and resets the connection.
 * - `reset-before-answer`: forwards the request and resets the connection when the first byte of the response arrives.
 * - `cut-answer`: forwards the first part of the response, then resets the connection.
 * - `swallow-request`: discards bytes in both directions; the connection stays open.
 * - `swallow-answer`: forwards the request and discards the response; the connection stays open.
 * - `late-answer`: forwards the response after `delayMs`.
 */
type ProxyMode =
    | "pass"
    | "reset-on-accept"
    | "reset-after-request"
    | "reset-before-answer"
    | "cut-answer"
    | "swallow-request"
    | "swallow-answer"
    | "late-answer";

/** A TCP proxy on loopback that simulates network faults: resets, truncated and delayed responses, and dropped bytes. */
export class TcpProxy {
    /** Applies to open connections too, except `reset-on-accept`, which affects only new ones. */
    mode: ProxyMode = "pass";
    delayMs = 50;
    /** Number of connections accepted so far. */
    accepted = 0;
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();

    constructor(private readonly targetUrl: string) {
        this.server = createServer(socket => {
            this.accept(socket);
        });
    }

    /** Listens until `signal` aborts; resolves with the base URL. */
    start(signal: AbortSignal): Promise<string> {
        return new Promise(resolve => {
            this.server.listen(0, "127.0.0.1", () => {
                resolve(`http://127.0.0.1:${(this.server.address() as AddressInfo).port}`);
            });
            signal.addEventListener("abort", () => {
                this.server.close();
                for (const socket of this.sockets) {
                    socket.destroy();
                }
            }, { once: true });
        });
    }

    private accept(client: Socket): void {
        this.accepted++;
        if (this.mode === "reset-on-accept") {
            client.resetAndDestroy();
            return;
        }
        const { hostname, port } = new URL(this.targetUrl);
        const server = connect(Number(port), hostname);
        this.track(client, server);
        this.track(server, client);
        client.on("data", bytes => {
            this.onRequestBytes(client, server, bytes);
        });
        server.on("data", bytes => {
            this.onResponseBytes(client, server, bytes);
        });
    }

    private onRequestBytes(client: Socket, server: Socket, bytes: Buffer): void {
        if (this.mode === "reset-after-request") {
            client.resetAndDestroy();
        }
        else if (this.mode !== "swallow-request") {
            forward(client, server, bytes);
        }
    }

    private onResponseBytes(client: Socket, server: Socket, bytes: Buffer): void {
        switch (this.mode) {
            case "reset-before-answer":
                client.resetAndDestroy();
                break;
            case "cut-answer":
                client.write(bytes.subarray(0, bytes.length - 1), () => client.resetAndDestroy());
                break;
            case "swallow-request":
            case "swallow-answer":
                break;
            case "late-answer":
                setTimeout(() => client.write(bytes), this.delayMs);
                break;
            default:
                forward(server, client, bytes);
        }
    }

    private track(socket: Socket, other: Socket): void {
        this.sockets.add(socket);
        socket.setNoDelay(true);
        socket.on("error", () => undefined);
        socket.on("close", () => {
            this.sockets.delete(socket);
            other.destroy();
        });
    }
}

/** Writes `bytes` to `to` and pauses `from` while the write buffer of `to` is full. */
function forward(from: Socket, to: Socket, bytes: Buffer): void {
    if (!to.write(bytes)) {
        from.pause();
        to.once("drain", () => from.resume());
    }
}
