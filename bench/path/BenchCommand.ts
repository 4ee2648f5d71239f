/** Command from the benchmark to one of its child processes. */
export type BenchCommand =
    /** VM: report memory and CPU time. */
    | { readonly type: "reportMemory"; readonly collectsGarbage: boolean; }
    /** Load generator: start streams in an open loop, round-robin over `urls`, and report the time to first token of each. */
    | {
        readonly type: "startStreams";
        readonly urls: readonly string[];
        readonly ratePerSecond: number;
        readonly durationMs: number;
        readonly answerTokens: number;
    }
    /** Load generator: open `count` more endless streams and keep reading them. */
    | { readonly type: "openStreams"; readonly url: string; readonly count: number; }
    /** Load generator: open streams one after another, abort each at its first bytes, and report the times of the aborts. */
    | { readonly type: "abortStreams"; readonly url: string; readonly count: number; }
    /** Load generator: report the tokens read since the last report. */
    | { readonly type: "reportTokens"; };
