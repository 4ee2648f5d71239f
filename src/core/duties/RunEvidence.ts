/**
 * What shows that a call began to run: the first event of its stream, which has just arrived; the head of another response, which has just
 * arrived; or the end of an attempt without a response, which may have run. `sentMs` is when the call was sent to its upstream.
 */
export type RunEvidence =
    | { readonly kind: "event"; }
    | { readonly kind: "head"; readonly route: string; readonly sentMs: number; }
    | { readonly kind: "no-answer"; readonly sentMs: number; };
