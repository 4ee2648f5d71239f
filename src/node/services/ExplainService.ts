import type { ExplainQuery } from "../../schema/explain/ExplainQuery.js";
import type { Explanation } from "../../schema/explain/Explanation.js";

/** Finds decisions over the fleet. VMs that do not answer are named in the explanation. */
export interface ExplainService {
    explain(query: ExplainQuery, signal: AbortSignal): Promise<Explanation>;
}
