import type { Pool } from "../../schema/config/Pool.js";
import type { ConfigView } from "../config/ConfigView.js";
import { assignPath } from "./assignPath.js";

interface PoolQuery {
    readonly kind: Pool["kind"];
    readonly service: string;
    readonly serviceClass: string;
    readonly customer: string;
    /** Idempotency key, or the request id if there is none. */
    readonly key: string;
}

/** Chooses the pool for a request; undefined if no pool serves the service. A service with a pool on only one path takes that path. */
export function choosePool(view: ConfigView, query: PoolQuery): Pool | undefined {
    const oldPool = findPool(view, query, "old");
    const newPool = findPool(view, query, "new");
    if (oldPool === undefined || newPool === undefined) {
        return oldPool ?? newPool;
    }
    const share = view.pathShares.get(`${query.service}/${query.serviceClass}`);
    return assignPath(query.customer, query.key, share?.newPathPercent ?? 0) === "new" ? newPool : oldPool;
}

/** Finds the first matching pool by name, so that every VM chooses the same one. */
function findPool(view: ConfigView, query: PoolQuery, path: Pool["path"]): Pool | undefined {
    let found: Pool | undefined;
    for (const pool of view.pools.values()) {
        const isMatch = pool.path === path && pool.kind === query.kind && pool.services.includes(query.service);
        if (isMatch && (found === undefined || pool.name < found.name)) {
            found = pool;
        }
    }
    return found;
}
