import type { RelayRoute } from "../../schema/relay/RelayRoute.js";
import { fnv1a } from "../util/fnv1a.js";
import { mixHash } from "../util/mixHash.js";

const hashRange = 2 ** 32;

/** Picks the service of a call by the weights of its route. A request id always maps to the same service. */
export function pickService(route: RelayRoute, requestId: string): string | undefined {
    const totalWeight = route.shares.reduce((sum, share) => sum + share.weight, 0);
    let remainingWeight = mixHash(fnv1a(requestId)) / hashRange * totalWeight;
    for (const { service, weight } of route.shares) {
        remainingWeight -= weight;
        if (remainingWeight < 0) {
            return service;
        }
    }
    return route.shares.at(-1)?.service;
}
