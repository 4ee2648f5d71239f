/** Predicted outcome of running a request on one engine. Times are durations in ms. */
export interface EnginePrediction {
    readonly upstreamId: string;
    readonly firstTokenMs: number;
    readonly finishMs: number;
    /**
     * Time to finish plus the cross-zone risk and the delay to the engine's other requests; the engine with the lowest cost is selected.
     */
    readonly costMs: number;
    /** Uncached prompt tokens of this request. */
    readonly uncachedTokens: number;
    /** Uncached prompt tokens of this request and those ahead of it. */
    readonly prefillTokens: number;
}
