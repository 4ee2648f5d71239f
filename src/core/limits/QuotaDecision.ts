import type { QuotaAmounts } from "./QuotaAmounts.js";

/** Whether a request may pass; `undecided` until the quota owner has answered. */
export type QuotaDecision =
    | { readonly kind: "admitted"; }
    | { readonly kind: "undecided"; }
    | { readonly kind: "refused"; readonly lack: keyof QuotaAmounts; readonly retryAfterMs: number; };
