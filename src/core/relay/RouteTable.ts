import type { RelayConfig } from "../../schema/relay/RelayConfig.js";
import type { RelayCustomer } from "../../schema/relay/RelayCustomer.js";
import type { RelayRoute } from "../../schema/relay/RelayRoute.js";
import type { RelayService } from "../../schema/relay/RelayService.js";
import { computeTierRank } from "./computeTierRank.js";

/** Indexes one version of the configuration: routes by host and longest path prefix, customers by key, services by name. */
export class RouteTable {
    readonly version: bigint;
    /** Tier ranks that streams can have, the most urgent first. */
    readonly streamTierRanks: readonly number[];
    private readonly routesByHost = new Map<string, RelayRoute[]>();
    private readonly customersByKey = new Map<string, RelayCustomer>();
    private readonly servicesByName: ReadonlyMap<string, RelayService>;

    constructor(readonly config: RelayConfig) {
        this.version = config.version;
        for (const route of config.routes) {
            const host = route.host.toLowerCase();
            const routes = this.routesByHost.get(host) ?? [];
            routes.push(route);
            this.routesByHost.set(host, routes);
        }
        for (const routes of this.routesByHost.values()) {
            routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
        }
        for (const customer of config.customers ?? []) {
            for (const key of customer.keys) {
                this.customersByKey.set(key, customer);
            }
        }
        const ranks = config.routes.filter(route => route.kind === "stream").flatMap(route => [
            computeTierRank(route.tier, route.tier),
            ...(config.customers ?? []).flatMap(({ tier }) => tier === undefined ? [] : computeTierRank(tier, route.tier)),
        ]);
        this.streamTierRanks = [...new Set(ranks)].sort((left, right) => left - right);
        this.servicesByName = new Map(config.services.map(service => [service.name, service]));
    }

    /** Finds the route on `host` whose path prefix is the longest that matches `path`; a port in `host` is ignored. */
    findRoute(host: string, path: string): RelayRoute | undefined {
        return this.routesByHost.get(host.toLowerCase().replace(/:\d+$/, ""))?.find(route => path.startsWith(route.pathPrefix));
    }

    findCustomer(key: string): RelayCustomer | undefined {
        return this.customersByKey.get(key);
    }

    /** Whether calls on non-public routes need a key. */
    get isKeyRequired(): boolean {
        return this.config.customers !== undefined;
    }

    service(name: string): RelayService | undefined {
        return this.servicesByName.get(name);
    }
}
