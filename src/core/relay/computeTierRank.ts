/** Most tiers that routes are told apart by within a tier of customers. */
const maxRouteTiers = 1_000;

/** Orders calls by tier, that of the customer before that of the route; of calls of one tier, by the tier of their route. 0 comes first. */
export function computeTierRank(tier: number, routeTier: number): number {
    return tier * maxRouteTiers + Math.min(routeTier, maxRouteTiers - 1);
}
