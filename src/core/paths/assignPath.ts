import { computeShareBucket } from "./computeShareBucket.js";

/** Assigns a request to a path. Raising the percentage moves keys only from old to new; lowering it moves them only back. */
export function assignPath(customer: string, key: string, newPathPercent: number): "old" | "new" {
    return computeShareBucket(customer, key) < newPathPercent ? "new" : "old";
}
