/** What a program of the benchmark is told to do. */
export type BenchCommand =
    /** VM: report memory and processor time. */
    | { readonly type: "reportMemory"; readonly collectsGarbage: boolean; }
    /** Load generator: start streams on an open loop, at the targets in turn, and report the time to each first token. */
    | {
        readonly type: "startStreams";
        readonly urls: readonly string[];
        readonly ratePerSecond: number;
        readonly durationMs: number;
        readonly answerTokens: number;
    }
    /** Load generator: open this many more endless streams and keep reading them. */
    | { readonly type: "openStreams"; readonly url: string; readonly count: number; }
    /** Load generator: open streams one by one, leave each after its first tokens, and report when. */
    | { readonly type: "abortStreams"; readonly url: string; readonly count: number; }
    /** Load generator: report the tokens read since the last report. */
    | { readonly type: "reportTokens"; };
