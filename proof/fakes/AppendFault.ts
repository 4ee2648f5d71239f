/**
 * What happens to one append. `answer`: lands and answers. `lose-answer`: lands, answers `unknown`.
 * `late`: answers `unknown`, lands later. `repeat`: lands twice. `drop`: answers `unknown`, never lands. `refuse`: surely not appended.
 */
export type AppendFault =
    | { readonly kind: "answer" | "lose-answer" | "repeat" | "drop" | "refuse"; }
    | { readonly kind: "late"; readonly afterMs: number; };
