import { errAsync } from "neverthrow";
import type { computeCallerLoadLimits } from "../../../core/relay/computeCallerLoadLimits.js";
import { LeastLoadedPlacer } from "../../../core/relay/LeastLoadedPlacer.js";
import type { PlacementRefusal } from "../../../core/relay/PlacementRefusal.js";
import type { PlacementRequest } from "../../../core/relay/PlacementRequest.js";
import { RouteTable } from "../../../core/relay/RouteTable.js";
import { exampleConfig } from "../../../core/relay/testing/exampleConfig.js";
import { exampleRoute } from "../../../core/relay/testing/exampleRoute.js";
import { exampleUpstream } from "../../../core/relay/testing/exampleUpstream.js";
import { UpstreamAvailability } from "../../../core/relay/UpstreamAvailability.js";
import { UpstreamDirectory } from "../../../core/relay/UpstreamDirectory.js";
import { UpstreamHealth } from "../../../core/relay/UpstreamHealth.js";
import { UpstreamLoadTracker } from "../../../core/relay/UpstreamLoadTracker.js";
import { RetryBudget } from "../../../core/retry/RetryBudget.js";
import type { Scheduler } from "../../../core/util/Scheduler.js";
import type { PromptPartNews } from "../../../schema/peer/PromptPartNews.js";
import type { RelayConfig } from "../../../schema/relay/RelayConfig.js";
import type { RelayRoute } from "../../../schema/relay/RelayRoute.js";
import type { RequestSummary } from "../../services/RequestSummary.js";
import { SystemScheduler } from "../../timers/SystemScheduler.js";
import { isConnectionRefused } from "../../upstream/isConnectionRefused.js";
import { UpstreamConnections } from "../../upstream/UpstreamConnections.js";
import { PromptPartGuard } from "../PromptPartGuard.js";
import type { RelayDependencies } from "../RelayDependencies.js";
import { RelayServer } from "../RelayServer.js";
import { exampleDialect } from "./exampleDialect.js";

interface TestRelayOptions {
    readonly hedging?: RelayDependencies["hedging"];
    readonly limits?: Partial<RelayConfig["limits"]>;
    readonly load?: ReturnType<typeof computeCallerLoadLimits>;
    readonly refuse?: (request: PlacementRequest) => PlacementRefusal | undefined;
}

/**
 * Starts a relay in front of the upstreams with these addresses, `u0`, `u1` and so on; they are chosen in that order. `maxRetries` is the
 * number of retries that a call may take from the retry budget; a call is placed once `beforePlacement` resolves, and unless `refuse` refuses it.
 */
export async function startTestRelay(
    route: Partial<RelayRoute>,
    addresses: readonly string[],
    signal: AbortSignal,
    scheduler: Scheduler = new SystemScheduler(),
    maxRetries = 10,
    beforePlacement: () => Promise<void> = () => Promise.resolve(),
    { hedging, limits = {}, load, refuse }: TestRelayOptions = {},
) {
    const directory = new UpstreamDirectory();
    const loadTracker = new UpstreamLoadTracker({ learnsEngineSpeeds: true });
    const health = new UpstreamHealth();
    const summaries: RequestSummary[] = [];
    const refusals: string[] = [];
    const begunRuns: string[] = [];
    for (const [index, address] of addresses.entries()) {
        directory.set(exampleUpstream(`u${index}`, { address, slots: 6 - index }));
    }
    const connections = new UpstreamConnections();
    signal.addEventListener("abort", () => void connections.close());
    const placer = new LeastLoadedPlacer(loadTracker, "z1", () => 0.5);
    let receiveMessage: (from: string, message: { readonly news: PromptPartNews; }) => unknown = () => undefined;
    const partGuard = new PromptPartGuard({
        vm: "vm-1",
        links: {
            send: () => false,
            request: () => errAsync({ kind: "no-link", message: "" }),
            onMessage: (...[, handler]) => {
                receiveMessage = handler as unknown as typeof receiveMessage;
            },
            onLinkOpened: () => undefined,
        },
        membership: { members: [] },
        scheduler,
        probeJitter: 0,
        isDown: upstream => isConnectionRefused(upstream.address, signal),
    });
    partGuard.start(signal);
    const config = exampleConfig({ routes: [exampleRoute(route)] });
    let routeTable = new RouteTable({ ...config, limits: { ...config.limits, ...limits } });
    const setRoutes = (routes: readonly Partial<RelayRoute>[]) => {
        routeTable = new RouteTable({ ...config, routes: routes.map(changed => exampleRoute(changed)) });
    };
    const retryBudget = new RetryBudget(scheduler, {
        retriesPerRequest: 1,
        initialSavedRetries: maxRetries,
        getShare: () => ({ retriesPerSecond: 0, maxSavedRetries: maxRetries }),
    });
    const server = new RelayServer({
        host: "127.0.0.1",
        port: 0,
        dialect: exampleDialect,
        scheduler,
        directory,
        loadTracker,
        health,
        availability: new UpstreamAvailability({ directory, health, random: () => 0 }),
        partGuard,
        connections,
        observer: { requestEnded: summary => summaries.push(summary) },
        onRefusal: ({ status, reason }) => refusals.push(`${status} ${reason}`),
        routeTable: () => routeTable,
        onRunBegun: (customer, { kind }) => begunRuns.push(`${customer} ${kind}`),
        retryBudget: () => retryBudget,
        hedging,
        load,
        placeCall: async request => {
            await beforePlacement();
            return refuse?.(request) ?? placer.place(request);
        },
        hasAdmission: refuse !== undefined,
    });
    const port = (await server.start(signal))._unsafeUnwrap();
    const receiveNews = (news: PromptPartNews) => receiveMessage("vm-2", { news });
    return { port, server, summaries, refusals, begunRuns, loadTracker, health, partGuard, receiveNews, setRoutes };
}
