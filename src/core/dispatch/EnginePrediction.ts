/** What a request would see on one engine. */
export interface EnginePrediction {
    readonly upstreamId: string;
    readonly firstTokenMs: number;
    readonly finishMs: number;
    /** Finish, with what the request costs the others there; the least is taken. */
    readonly costMs: number;
    /** Prompt tokens that the engine would have to read for this request. */
    readonly uncachedTokens: number;
    /** With those ahead of it. */
    readonly prefillTokens: number;
}
