import type { ClaimOwner } from "./ClaimOwner.js";
import type { RecordedResponse } from "./RecordedResponse.js";

/** What the claim stream says about one key: who won it, and how the call ended. */
export interface ClaimEntry {
    readonly key: string;
    readonly digest: string;
    readonly owner: ClaimOwner;
    readonly nonce: number;
    /** `claimed`: no outcome yet; `answered`: see `answer`; `lost`: sent, and nobody knows what it did. */
    state: "claimed" | "answered" | "lost";
    /** Undefined also when the answer was dropped from memory; the record at `endOffset` holds it. */
    answer: RecordedResponse | undefined;
    /** Offset of the record that ended the call. */
    endOffset: number | undefined;
    /** When this VM last folded a claim of the key, by its own monotonic clock. */
    lastClaimAtMs: number;
}
