/** Whether a call with certain prompt parts may be sent to an engine; `probe` tests whether a quarantined part still crashes engines. */
export type PartAdmission =
    | { readonly kind: "admitted"; }
    | { readonly kind: "probe"; readonly partId: string; }
    | { readonly kind: "quarantined"; readonly partId: string; readonly retryAfterMs: number; };
