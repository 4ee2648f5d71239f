import type { PlacementReason } from "../../schema/relay/PlacementReason.js";
import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";

/** The upstream chosen for a call, and the reason. */
export interface Placement {
    readonly upstream: RelayUpstream;
    /** Expected prefill time of the prompt; 0 for a call without a prompt. */
    readonly readMs: number;
    /** Expected wait on the upstream before the prefill of the prompt. */
    readonly waitMs: number;
    /** When the first event counts as overdue; undefined when a late first event does not indicate a slow upstream. */
    readonly dueMs: number | undefined;
    /** Priority offset: the number of levels by which the upstream is to schedule the call behind others of its tier. */
    readonly delay: number;
    readonly reason: PlacementReason;
}
