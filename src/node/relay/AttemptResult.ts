import type { BufferedResponse } from "./BufferedResponse.js";

/**
 * How one send to an upstream ended. `forwarded`: the answer went to the caller as it arrived, to its end; `held`: it is whole and nothing of it went
 * out yet; `not-sent` and `not-run`: surely nothing was done; `broken`: something may have been done; `cancelled`: this VM gave it up.
 */
export type AttemptResult =
    | { readonly kind: "forwarded"; }
    | { readonly kind: "held"; readonly answer: BufferedResponse; }
    | { readonly kind: "not-sent"; readonly reason: string; }
    | { readonly kind: "not-run"; readonly status: number; readonly isWrongUpstream: boolean; readonly retryAfterMs: number | undefined; }
    | { readonly kind: "broken"; readonly reason: string; }
    | { readonly kind: "cancelled"; readonly isSent: boolean; readonly reason: string; };
