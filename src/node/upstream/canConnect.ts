import { connect } from "node:net";

const connectTimeoutMs = 500;
const defaultPorts: Readonly<Record<string, number>> = { "http:": 80, "https:": 443 };

/** Whether a TCP connection to the host and port of `url` opens within 500 ms. Nothing is sent on it. */
export function canConnect(url: string, signal: AbortSignal): Promise<boolean> {
    const { hostname, port, protocol } = new URL(url);
    return new Promise(resolve => {
        const socket = connect({ host: hostname.replace(/^\[|\]$/g, ""), port: Number(port) || (defaultPorts[protocol] ?? 80), signal });
        const settle = (isOpen: boolean) => {
            socket.destroy();
            resolve(isOpen);
        };
        socket.setTimeout(connectTimeoutMs, () => {
            settle(false);
        });
        socket.once("connect", () => {
            settle(true);
        });
        socket.once("error", () => {
            settle(false);
        });
    });
}
