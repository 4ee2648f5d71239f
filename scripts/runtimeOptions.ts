/**
 * Options of the runtime inside the executable. Relaying tokens makes much short-lived garbage; a small young generation
 * keeps an entry VM within its memory at little cost in time (docs/design/request-path.md).
 */
export const runtimeOptions: readonly string[] = ["--max-semi-space-size=2"];
