import type { ClaimOwner } from "./ClaimOwner.js";
import type { RecordedAnswer } from "./RecordedAnswer.js";

/** What the claim stream says about one key: who won it, and how the call ended. */
export interface ClaimEntry {
    readonly key: string;
    readonly digest: string;
    readonly owner: ClaimOwner;
    readonly nonce: number;
    /** `claimed`: no outcome yet; `answered`: see `answer`; `lost`: sent, and nobody knows what it did. */
    state: "claimed" | "answered" | "lost";
    answer: RecordedAnswer | undefined;
    /** When this VM last folded a claim of the key, by its own monotonic clock. */
    touchedMs: number;
}
