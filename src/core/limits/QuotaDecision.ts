import type { QuotaLimits } from "./QuotaLimits.js";

/** Whether a request may pass; `undecided` until the quota owner has answered. */
export type QuotaDecision =
    | { readonly kind: "admitted"; }
    | { readonly kind: "undecided"; }
    | { readonly kind: "refused"; readonly exhaustedLimit: keyof QuotaLimits; readonly retryAfterMs: number; };
