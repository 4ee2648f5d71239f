import type { RefusalReason } from "../../schema/relay/RefusalReason.js";

/** Refusal of a call for which there is too little room. */
export interface PlacementRefusal {
    readonly refusedFor: RefusalReason;
    /** When room is expected. */
    readonly retryAfterMs: number;
}
