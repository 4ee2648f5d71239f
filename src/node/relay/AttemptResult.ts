import type { BufferedResponse } from "./BufferedResponse.js";

/**
 * Result of one attempt to run a call on an upstream. `forwarded`: the complete response was streamed to the caller; `held`: the response
 * is buffered completely and nothing of it has been sent to the caller; `not-sent`: the call did not reach the upstream; `not-run`: the
 * upstream states that it did not run the call; `broken`: the upstream may have done work; `cancelled`: this VM aborted the attempt. `bodyFailure` says why the
 * body of a refusal was not read to its end. After `not-sent` and `not-run`, the upstream certainly did no work.
 */
export type AttemptResult =
    | { readonly kind: "forwarded"; }
    | { readonly kind: "held"; readonly answer: BufferedResponse; }
    | { readonly kind: "not-sent"; readonly reason: string; }
    | {
        readonly kind: "not-run";
        readonly status: number;
        readonly isWrongUpstream: boolean;
        readonly retryAfterMs: number | undefined;
        readonly bodyFailure: string | undefined;
    }
    | { readonly kind: "broken"; readonly reason: string; }
    | { readonly kind: "cancelled"; readonly isSent: boolean; readonly reason: string; };
