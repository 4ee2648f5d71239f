import { connect } from "node:net";

const connectTimeoutMs = 500;

/**
 * Whether a TCP connection to `address` (host and port) is refused, which shows that no process listens there. No answer within 500 ms is no
 * refusal: the network may have lost it. Nothing is sent on a connection that opens.
 */
export function isConnectionRefused(address: string, signal: AbortSignal): Promise<boolean> {
    const separator = address.lastIndexOf(":");
    return new Promise(resolve => {
        const socket = connect({ host: address.slice(0, separator), port: Number(address.slice(separator + 1)), signal });
        const settle = (isRefused: boolean) => {
            socket.destroy();
            resolve(isRefused);
        };
        socket.setTimeout(connectTimeoutMs, () => {
            settle(false);
        });
        socket.once("connect", () => {
            settle(false);
        });
        socket.once("error", (error: NodeJS.ErrnoException) => {
            settle(error.code === "ECONNREFUSED");
        });
    });
}
