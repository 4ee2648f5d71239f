/** Number of route tiers that are distinguished within one tier; the last one covers all higher route tiers. */
const maxRouteTiers = 1_000;

/**
 * Computes the rank of a call; 0 is the most urgent. Calls rank by `tier`, which is that of the customer if it has one, and within one tier
 * by the tier of their route.
 */
export function computeTierRank(tier: number, routeTier: number): number {
    return tier * maxRouteTiers + Math.min(routeTier, maxRouteTiers - 1);
}
