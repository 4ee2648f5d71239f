import { Agent, type Dispatcher, Pool } from "undici";
import { TrackedClient } from "./TrackedClient.js";
import type { TrackedDispatchOptions } from "./TrackedDispatchOptions.js";
import type { UpstreamExchange } from "./UpstreamExchange.js";

interface UpstreamConnectionOptions {
    readonly connectTimeoutMs: number;
    /** Idle time after which a connection is closed, so that few of the idle connections can have failed without being noticed. */
    readonly keepAliveMs: number;
}

const defaultOptions: UpstreamConnectionOptions = { connectTimeoutMs: 1_000, keepAliveMs: 4_000 };

/** Pool of connections to upstreams, with one request at a time on each. Response timeouts are enforced by the clients. */
export class UpstreamConnections {
    private readonly agent: Agent;

    constructor(options: Partial<UpstreamConnectionOptions> = {}) {
        const { connectTimeoutMs, keepAliveMs } = { ...defaultOptions, ...options };
        this.agent = new Agent({
            factory: origin =>
                new Pool(origin, { factory: poolOrigin => new TrackedClient(poolOrigin, { connectTimeoutMs, keepAliveMs }) }),
        });
    }

    dispatch(options: Dispatcher.DispatchOptions, exchange: UpstreamExchange): void {
        const trackedOptions: TrackedDispatchOptions = {
            ...options,
            onDispatch: getConnection => {
                exchange.getConnection = getConnection;
            },
        };
        this.agent.dispatch(trackedOptions, exchange);
    }

    /** Closes every connection immediately, without waiting for open exchanges. */
    async close(): Promise<void> {
        await this.agent.destroy();
    }
}
