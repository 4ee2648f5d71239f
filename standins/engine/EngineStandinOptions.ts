/** Speeds and habits of a stand-in engine. */
export interface EngineStandinOptions {
    readonly models: readonly string[];
    /** Equal seeds give equal answers on different engines. */
    readonly seed: number;
    /** Most requests generating at once; the rest wait by priority. */
    readonly maxBatchSize: number;
    /** Time of one step, which gives each running request one token. */
    readonly stepMs: number;
    /** Added to the step for each running request beyond the first. */
    readonly stepMsPerRequest: number;
    readonly prefillMsPerToken: number;
    /** Honour `resume_from_token`; an engine that does not starts over and does not confirm an offset. */
    readonly canResume: boolean;
    /** Length of an answer when the caller asks for no less. */
    readonly naturalAnswerTokens: number;
    /** Load reports tell the state of this long ago. */
    readonly loadReportDelayMs: number;
    /** Cache events appear this late. */
    readonly cacheEventDelayMs: number;
    /** Every n-th cache event is lost; 0 loses none. */
    readonly cacheEventLossPeriod: number;
    /** Prompt tokens whose prefix the engine keeps. */
    readonly cacheCapacityTokens: number;
    /** Refuse orders that carry an old fencing number; false ignores the number. */
    readonly checksFencing: boolean;
    /** Time a model, adapter or version takes to load. */
    readonly loadMs: number;
}
