import type { ExplainQuery } from "../../schema/explain/ExplainQuery.js";
import type { Explanation } from "../../schema/explain/Explanation.js";

/** Looks up recorded decisions across the fleet. The explanation lists the VMs that did not reply. */
export interface ExplainService {
    explain(query: ExplainQuery, signal: AbortSignal): Promise<Explanation>;
}
