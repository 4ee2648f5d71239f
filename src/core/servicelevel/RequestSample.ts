/** Outcome and timings of one finished request as its caller saw them; input to the service level. */
export interface RequestSample {
    readonly status: number;
    readonly errorCode: string | undefined;
    readonly queueMs: number | undefined;
    readonly firstTokenMs: number | undefined;
    readonly meanTokenGapMs: number | undefined;
    readonly totalMs: number;
    /** Tokens delivered to the caller. */
    readonly tokens: number;
    readonly wastedTokens: number;
    readonly isComplete: boolean;
    /** The caller closed its connection before the response was complete. */
    readonly isAbandoned: boolean;
}
