/** Names that the programs of this benchmark share. */
export const benchCaller = { key: "sk-bench-key", model: "bench-model" } as const;
