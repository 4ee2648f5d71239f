import type { ClaimOwner } from "./ClaimOwner.js";

/** Effect of one folded record on a key. `void`: the claim was abandoned before its record was appended. */
export interface ClaimEffect {
    readonly kind: "won" | "lost" | "void" | "freed" | "ended";
    readonly key: string;
    readonly owner: ClaimOwner;
    readonly nonce: number;
}
