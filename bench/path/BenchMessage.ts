/** Message from a child process of the benchmark. */
export type BenchMessage =
    | { readonly type: "listening"; readonly url: string; }
    | {
        readonly type: "memory";
        readonly rssBytes: number;
        readonly heapUsedBytes: number;
        readonly cpuMs: number;
        readonly activeRequests: number;
    }
    /** `samplesMs` holds one list per target, in the order of `urls` in the command. */
    | { readonly type: "firstTokens"; readonly samplesMs: readonly (readonly number[])[]; readonly failures: number; }
    /** Wall-clock times at which the caller aborted its streams, by request id. */
    | { readonly type: "aborted"; readonly abortedAtMs: Readonly<Record<string, number>>; }
    | { readonly type: "opened"; readonly count: number; }
    | { readonly type: "tokens"; readonly tokens: number; readonly openStreams: number; readonly cpuMs: number; };
