import type { Pool } from "../../schema/config/Pool.js";
import type { ConfigView } from "../config/ConfigView.js";
import { assignPath } from "./assignPath.js";

interface PathQuestion {
    readonly kind: Pool["kind"];
    readonly service: string;
    readonly serviceClass: string;
    readonly customer: string;
    /** Idempotency key, or the request id when there is none. */
    readonly key: string;
}

/** The pool that serves a request; undefined when no pool has the service. A service that only one path has takes that path. */
export function choosePool(view: ConfigView, question: PathQuestion): Pool | undefined {
    const oldPool = findPool(view, question, "old");
    const newPool = findPool(view, question, "new");
    if (oldPool === undefined || newPool === undefined) {
        return oldPool ?? newPool;
    }
    const share = view.pathShares.get(`${question.service}/${question.serviceClass}`);
    return assignPath(question.customer, question.key, share?.newPathPercent ?? 0) === "new" ? newPool : oldPool;
}

/** The first pool by name, so that every VM chooses the same one. */
function findPool(view: ConfigView, question: PathQuestion, path: Pool["path"]): Pool | undefined {
    let found: Pool | undefined;
    for (const pool of view.pools.values()) {
        const serves = pool.path === path && pool.kind === question.kind && pool.services.includes(question.service);
        if (serves && (found === undefined || pool.name < found.name)) {
            found = pool;
        }
    }
    return found;
}
