import type { Pool } from "../../schema/config/Pool.js";

/**
 * Whether a keyed call of `service` may be sent again, or without a claim, because its upstreams deduplicate by key. They must be
 * one pool: two pools, such as the old path's and the new path's, do not know each other's keys.
 */
export function hasSingleDeduplicatingPool(pools: Iterable<Pool>, service: string): boolean {
    const serving = [...pools].filter(pool => pool.kind === "plain" && pool.services.includes(service));
    return serving.length === 1 && serving.every(pool => pool.deduplicatesByKey);
}
