import type { RelayRoute } from "../../schema/relay/RelayRoute.js";
import { fnv1a } from "../util/fnv1a.js";
import { mixHash } from "../util/mixHash.js";

const hashRange = 2 ** 32;

/** Picks the service of one call by the weights of its route. The same id always gets the same service. */
export function pickService(route: RelayRoute, requestId: string): string | undefined {
    const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
    let point = mixHash(fnv1a(requestId)) / hashRange * total;
    for (const { service, weight } of route.shares) {
        point -= weight;
        if (point < 0) {
            return service;
        }
    }
    return route.shares.at(-1)?.service;
}
