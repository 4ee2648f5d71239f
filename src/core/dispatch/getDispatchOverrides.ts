import type { DispatchOptions } from "./DispatchOptions.js";
import type { Shard } from "./Shard.js";

/**
 * Options that disable what a shard's upstreams do not support: plain services cannot pause or resume calls, and non-repeatable calls must
 * not be sent twice.
 */
export function getDispatchOverrides({ kind, repeatable }: Pick<Shard, "kind" | "repeatable">): Partial<DispatchOptions> {
    if (kind === "engine" && repeatable) {
        return {};
    }
    return { maxOversubscribedRequests: 0, isPreemptionEnabled: false, isMigrationEnabled: false, hedgeShare: 0 };
}
