/** Timing and behaviour of a stand-in engine. */
export interface EngineStandinOptions {
    readonly models: readonly string[];
    /** Engines with equal seeds give equal answers to equal prompts. */
    readonly seed: number;
    /** Maximum number of requests in the batch; the others wait, ordered by priority. */
    readonly maxBatchSize: number;
    /** Duration of one decode step, which generates one token for each running request. */
    readonly stepMs: number;
    /** Added to the step duration for each running request beyond the first. */
    readonly stepMsPerRequest: number;
    readonly prefillMsPerToken: number;
    /** Whether `resume_from_token` is honoured; otherwise the answer starts from its first token and no offset is confirmed. */
    readonly canResume: boolean;
    /** Length of an answer unless the caller sets a lower limit. */
    readonly naturalAnswerTokens: number;
    /** Bytes added to each streamed event, so that few events fill the buffers on the way to a caller. */
    readonly eventPaddingBytes: number;
    /** Age of the state that load reports describe. */
    readonly loadReportDelayMs: number;
    /** Delay before a cache event becomes visible. */
    readonly cacheEventDelayMs: number;
    /** One of this many cache events is dropped; 0 drops none. */
    readonly cacheEventLossPeriod: number;
    /** Capacity of the prefix cache, in prompt tokens. */
    readonly cacheCapacityTokens: number;
    /** Whether orders with an old fencing number are rejected; otherwise the number is ignored. */
    readonly checksFencing: boolean;
    /** Time to load a model, adapter or version. */
    readonly loadMs: number;
}
