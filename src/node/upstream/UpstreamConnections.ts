import { Agent, type Dispatcher } from "undici";

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
            connect: { timeout: connectTimeoutMs, keepAlive: true },
            keepAliveTimeout: keepAliveMs,
            keepAliveMaxTimeout: keepAliveMs,
            headersTimeout: 0,
            bodyTimeout: 0,
            pipelining: 1,
        });
    }

    dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
        this.agent.dispatch(options, handler);
    }

    /** Closes every connection at once. */
    async close(): Promise<void> {
        await this.agent.destroy();
    }
}
