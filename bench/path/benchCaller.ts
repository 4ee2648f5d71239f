/** API key and model name that the processes of the benchmark share. */
export const benchCaller = { key: "sk-bench-key", model: "bench-model" } as const;
