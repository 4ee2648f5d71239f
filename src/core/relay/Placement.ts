import type { PlacementReason } from "../../schema/relay/PlacementReason.js";
import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";

/** Where a call goes, and why. */
export interface Placement {
    readonly upstream: RelayUpstream;
    /** Time that the upstream is expected to need for reading the prompt; 0 for plain calls. */
    readonly readMs: number;
    /** Time that prompts before it are expected to take there. */
    readonly waitMs: number;
    /** When the first event is expected; undefined where that shows nothing about the upstream. */
    readonly dueMs: number | undefined;
    /** Classes of urgency by which the upstream is to put the call behind others of its tier. */
    readonly delay: number;
    readonly reason: PlacementReason;
}
