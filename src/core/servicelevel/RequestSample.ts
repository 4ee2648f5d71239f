/** What the service level is judged by: the end of one request, as the caller saw it. */
export interface RequestSample {
    readonly status: number;
    readonly errorCode: string | undefined;
    readonly queueMs: number | undefined;
    readonly firstTokenMs: number | undefined;
    readonly meanTokenGapMs: number | undefined;
    readonly totalMs: number;
    /** Tokens handed to the caller. */
    readonly tokens: number;
    readonly wastedTokens: number;
    readonly isComplete: boolean;
    /** The caller closed its connection first. */
    readonly isAbandoned: boolean;
}
