/**
 * Outcome of one append. `answer`: appended and acknowledged. `lose-answer`: appended, but the caller gets `unknown`.
 * `late`: the caller gets `unknown` and the record is appended later. `repeat`: appended twice. `drop`: the caller gets `unknown` and the
 * record is never appended. `refuse`: the caller gets `not-appended` and the record is never appended.
 */
export type AppendFault =
    | { readonly kind: "answer" | "lose-answer" | "repeat" | "drop" | "refuse"; }
    | { readonly kind: "late"; readonly afterMs: number; };
