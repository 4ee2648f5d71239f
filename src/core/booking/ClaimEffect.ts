import type { ClaimOwner } from "./ClaimOwner.js";

/**
 * Effect of one folded record on a key. `won`: the claim is the first of the key; `lost`: another claim already holds the key; `void`: the
 * claim was abandoned before its record was appended; `freed`: the claim that held the key was abandoned; `ended`: the outcome of the call
 * was recorded, which may be unknown.
 */
export interface ClaimEffect {
    readonly kind: "won" | "lost" | "void" | "freed" | "ended";
    readonly key: string;
    readonly owner: ClaimOwner;
    readonly nonce: number;
}
