/** The calls with one kind of prompt in a simulated workload. */
export interface PromptWorkload {
    readonly callsPerSecond: (nowMs: number) => number;
    readonly targetMs: number;
    readonly gapTargetMs: number;
    readonly timeoutMs: number;
    readonly callValue: number;
    /** Number of subjects; all prompts about one subject share a part. */
    readonly subjectCount: number;
    /** Share of the calls that are all about one subject, while the others pick theirs at random; 0 when omitted. */
    readonly hotShare?: (nowMs: number) => number;
    /** Mean sizes; the sizes of own tokens and output follow a lognormal distribution. */
    readonly prompt: {
        readonly commonTokens: number;
        readonly subjectTokens: number;
        readonly ownTokens: number;
        readonly maxOwnTokens: number;
        readonly outputTokens: number;
    };
}
