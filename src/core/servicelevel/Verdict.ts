/** Whether a request met the targets of its class. `excluded`: caused by the caller, so counted neither as good nor as bad. */
export type Verdict =
    | { readonly kind: "good"; }
    | { readonly kind: "bad"; readonly reason: string; }
    | { readonly kind: "excluded"; };
