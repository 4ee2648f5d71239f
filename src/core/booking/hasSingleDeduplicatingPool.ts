import type { Pool } from "../../schema/config/Pool.js";

/**
 * Whether a call of `service` with an idempotency key may be sent again, or sent without a claim, because its upstreams deduplicate by key.
 * They must all be in one pool: two pools, such as those of the old and the new path, do not share their keys.
 */
export function hasSingleDeduplicatingPool(pools: Iterable<Pool>, service: string): boolean {
    const servicePools = [...pools].filter(pool => pool.kind === "plain" && pool.services.includes(service));
    return servicePools.length === 1 && servicePools.every(pool => pool.deduplicatesByKey);
}
