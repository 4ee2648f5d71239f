/** One kind of prompt in a played load. */
export interface PromptWorkload {
    readonly callsPerSecond: (nowMs: number) => number;
    readonly targetMs: number;
    readonly gapTargetMs: number;
    readonly timeoutMs: number;
    readonly callValue: number;
    /** Different subjects, each with a part that its prompts share. */
    readonly subjects: number;
    /** Share of the calls that are about one subject; none when left out. */
    readonly hotShare?: (nowMs: number) => number;
    /** Mean sizes; own tokens and output are skewed. */
    readonly prompt: {
        readonly commonTokens: number;
        readonly subjectTokens: number;
        readonly ownTokens: number;
        readonly maxOwnTokens: number;
        readonly outputTokens: number;
    };
}
