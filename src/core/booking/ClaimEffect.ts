import type { ClaimOwner } from "./ClaimOwner.js";

/** What folding one record did to a key. `void`: the claim had been abandoned before it landed. */
export interface ClaimEffect {
    readonly kind: "won" | "lost" | "void" | "freed" | "ended";
    readonly key: string;
    readonly owner: ClaimOwner;
    readonly nonce: number;
}
