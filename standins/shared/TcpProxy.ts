import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/**
 * What the proxy does to connections:
 * - `pass`: passes bytes both ways.
 * - `reset-on-accept`: resets a new connection before reading from it.
 * - `reset-after-request`: reads the first bytes, passes nothing on, and resets.
 * - `reset-before-answer`: passes the request on, and resets when the first byte of the answer arrives.
 * - `cut-answer`: passes the first part of the answer on, then resets.
 * - `swallow-request`: reads and passes nothing on; the connection stays open.
 * - `swallow-answer`: passes the request on and drops the answer; the connection stays open.
 * - `late-answer`: passes the answer on after `delayMs`.
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

/** A TCP proxy on loopback that stands for a network that loses track of connections. */
export class TcpProxy {
    /** Applies to open connections too, except where the mode is about a new one. */
    mode: ProxyMode = "pass";
    delayMs = 50;
    /** Connections accepted so far. */
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

    private accept(near: Socket): void {
        this.accepted++;
        if (this.mode === "reset-on-accept") {
            near.resetAndDestroy();
            return;
        }
        const { hostname, port } = new URL(this.targetUrl);
        const far = connect(Number(port), hostname);
        this.track(near, far);
        this.track(far, near);
        near.on("data", bytes => {
            this.onRequestBytes(near, far, bytes);
        });
        far.on("data", bytes => {
            this.onAnswerBytes(near, far, bytes);
        });
    }

    private onRequestBytes(near: Socket, far: Socket, bytes: Buffer): void {
        if (this.mode === "reset-after-request") {
            near.resetAndDestroy();
        }
        else if (this.mode !== "swallow-request") {
            passOn(near, far, bytes);
        }
    }

    private onAnswerBytes(near: Socket, far: Socket, bytes: Buffer): void {
        switch (this.mode) {
            case "reset-before-answer":
                near.resetAndDestroy();
                break;
            case "cut-answer":
                near.write(bytes.subarray(0, bytes.length - 1), () => near.resetAndDestroy());
                break;
            case "swallow-request":
            case "swallow-answer":
                break;
            case "late-answer":
                setTimeout(() => near.write(bytes), this.delayMs);
                break;
            default:
                passOn(far, near, bytes);
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

/** Holds the sender back while the receiver is slow. */
function passOn(from: Socket, to: Socket, bytes: Buffer): void {
    if (!to.write(bytes)) {
        from.pause();
        to.once("drain", () => from.resume());
    }
}
