/**
 * Options of the runtime inside the executable. Relaying tokens makes much short-lived garbage; a small young generation
 * keeps an entry VM within its memory at little cost in time, and a heap that grows slowly bounds the worst of it
 * (docs/design/request-path.md).
 */
export const runtimeOptions: readonly string[] = ["--max-semi-space-size=2", "--heap-growing-percent=40"];
