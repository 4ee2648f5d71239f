import { computeShareBucket } from "./computeShareBucket.js";

/** The path of a request. Raising the share moves keys from old to new only; lowering it moves them back only. */
export function assignPath(customer: string, key: string, newPathPercent: number): "old" | "new" {
    return computeShareBucket(customer, key) < newPathPercent ? "new" : "old";
}
