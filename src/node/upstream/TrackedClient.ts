import { buildConnector, Client, type Dispatcher } from "undici";
import type { ConnectionState } from "./ConnectionState.js";
import { trackConnection } from "./trackConnection.js";
import type { TrackedDispatchOptions } from "./TrackedDispatchOptions.js";

interface TrackedClientOptions {
    readonly connectTimeoutMs: number;
    readonly keepAliveMs: number;
}

/**
 * A client with at most one connection to an upstream at a time, which records for its exchanges whether that connection has failed. When a
 * response has no length, undici treats the data that arrived before a connection reset, or before a close during the upload, as a complete
 * response. It also closes a connection whose upstream sends framing without end.
 */
export class TrackedClient extends Client {
    private readonly getConnection: () => ConnectionState | undefined;

    constructor(origin: string | URL, { connectTimeoutMs, keepAliveMs }: TrackedClientOptions) {
        let connection: ConnectionState | undefined;
        const connect = buildConnector({ timeout: connectTimeoutMs, keepAlive: true });
        super(origin, {
            connect: (options, callback) => {
                connect(options, (...result) => {
                    const socket = result[1];
                    connection = socket ? trackConnection(socket) : undefined;
                    callback(...result);
                });
            },
            keepAliveTimeout: keepAliveMs,
            keepAliveMaxTimeout: keepAliveMs,
            headersTimeout: 0,
            bodyTimeout: 0,
            pipelining: 1,
        });
        this.getConnection = () => connection;
        this.on("connect", () => {
            connection?.framingLimiter.start();
        });
    }

    override dispatch(options: TrackedDispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
        options.onDispatch?.(this.getConnection);
        return super.dispatch(options, handler);
    }
}
