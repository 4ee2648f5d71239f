/** Whether a request attained its class. `excluded`: the caller's own doing, which counts neither way. */
export type Verdict =
    | { readonly kind: "good"; }
    | { readonly kind: "bad"; readonly reason: string; }
    | { readonly kind: "excluded"; };
