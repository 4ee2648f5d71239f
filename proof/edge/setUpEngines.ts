import type { TestContext } from "node:test";
import OpenAI from "openai";
import { EngineStandin } from "../../standins/engine/EngineStandin.js";
import type { EngineStandinOptions } from "../../standins/engine/EngineStandinOptions.js";
import { TcpProxy } from "../../standins/shared/TcpProxy.js";
import { EdgeFixture } from "./EdgeFixture.js";

interface EngineSetUp {
    readonly client: OpenAI;
    readonly edge: EdgeFixture;
    readonly url: string;
    readonly engines: readonly EngineStandin[];
    /** Fault-injecting proxy in front of each engine. */
    readonly proxies: readonly TcpProxy[];
    /** The first engine, which receives the first request. */
    readonly first: EngineStandin;
}

/** Starts stand-in engines behind proxies, a VM that routes to them and an OpenAI client of the VM. All are stopped when the test ends. */
export async function setUpEngines(
    context: TestContext,
    engineOptions: readonly Partial<EngineStandinOptions>[],
    edgeOptions: ConstructorParameters<typeof EdgeFixture>[0] = {},
    maxRetries = 0,
): Promise<EngineSetUp> {
    const stop = new AbortController();
    const engines = engineOptions.map(options => new EngineStandin(options));
    const engineUrls = await Promise.all(engines.map(engine => engine.start(stop.signal)));
    const proxies = engineUrls.map(url => new TcpProxy(url));
    const proxyUrls = await Promise.all(proxies.map(proxy => proxy.start(stop.signal)));
    const edge = new EdgeFixture({ ...edgeOptions, engineUrls: proxyUrls });
    const url = await edge.start();
    context.after(() => {
        edge.close();
        stop.abort();
    });
    const client = new OpenAI({ apiKey: edge.key, baseURL: `${url}/v1`, maxRetries });
    return { client, edge, url, engines, proxies, first: engines[0] as EngineStandin };
}
