/**
 * Node.js options of the executable. Relaying tokens creates much short-lived garbage: a small young generation keeps an
 * entry VM within its memory limit at little CPU cost, and slow heap growth bounds the peak (docs/design/request-path.md).
 */
export const runtimeOptions: readonly string[] = ["--max-semi-space-size=2", "--heap-growing-percent=40"];
