import type { QuotaLimits } from "./QuotaLimits.js";

/** Whether a request is admitted under the customer's limits; `undecided` while a loan from the quota owner is needed. */
export type QuotaDecision =
    | { readonly kind: "admitted"; }
    | { readonly kind: "undecided"; }
    | { readonly kind: "refused"; readonly exhaustedLimit: keyof QuotaLimits; readonly retryAfterMs: number; };
