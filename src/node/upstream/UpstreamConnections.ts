import { Agent, type Dispatcher, Pool } from "undici";
import { TrackedClient } from "./TrackedClient.js";
import type { TrackedDispatchOptions } from "./TrackedDispatchOptions.js";
import type { UpstreamExchange } from "./UpstreamExchange.js";

interface UpstreamConnectionOptions {
    readonly connectTimeoutMs: number;
    /** Idle connections are closed after this long, so that few can have gone silent unnoticed. */
    readonly keepAliveMs: number;
}

const defaultOptions: UpstreamConnectionOptions = { connectTimeoutMs: 1_000, keepAliveMs: 4_000 };

/** Connections to upstreams, one request at a time on each. Time limits are kept by the clients, which know what they wait for. */
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
        const tracked: TrackedDispatchOptions = {
            ...options,
            onConnection: state => {
                exchange.connection = state;
            },
        };
        this.agent.dispatch(tracked, exchange);
    }

    /** Closes every connection at once. */
    async close(): Promise<void> {
        await this.agent.destroy();
    }
}
