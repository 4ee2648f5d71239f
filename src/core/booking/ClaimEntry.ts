import type { ClaimOwner } from "./ClaimOwner.js";
import type { RecordedResponse } from "./RecordedResponse.js";

/** State of one key in the booking stream: the owner of the claim and the outcome of the call. */
export interface ClaimEntry {
    readonly key: string;
    readonly digest: string;
    readonly owner: ClaimOwner;
    readonly nonce: number;
    /** `claimed`: no outcome yet; `answered`: a response was recorded; `lost`: the call was sent, and its outcome is unknown. */
    state: "claimed" | "answered" | "lost";
    /** Response of an answered call. If it was evicted from memory, it is undefined and can be read from the log at `endOffset`. */
    answer: RecordedResponse | undefined;
    /** Offset of the record with the outcome; undefined while there is none. */
    endOffset: number | undefined;
    /** When this VM last folded a claim of the key, on its own monotonic clock. */
    lastClaimAtMs: number;
}
