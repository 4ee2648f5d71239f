import type { DispatchOptions } from "./DispatchOptions.js";
import type { Shard } from "./Shard.js";

/** What a shard's dispatcher must leave out: plain services do not pause or resume calls, and some calls may not be sent twice. */
export function getDispatchOverrides({ kind, repeatable }: Pick<Shard, "kind" | "repeatable">): Partial<DispatchOptions> {
    if (kind === "engine" && repeatable) {
        return {};
    }
    return { maxOversubscribedRequests: 0, isPreemptionEnabled: false, isMigrationEnabled: false, hedgeShare: 0 };
}
