import type { EngineStandinOptions } from "./EngineStandinOptions.js";

/** Defaults: a fast engine with one model. */
export const defaultEngineOptions: EngineStandinOptions = {
    models: ["pumpline-model"],
    seed: 1,
    maxBatchSize: 16,
    stepMs: 2,
    stepMsPerRequest: 0,
    prefillMsPerToken: 0.01,
    canResume: true,
    naturalAnswerTokens: 32,
    eventPaddingBytes: 0,
    loadReportDelayMs: 500,
    cacheEventDelayMs: 200,
    cacheEventLossPeriod: 0,
    cacheCapacityTokens: 100_000,
    checksFencing: true,
    loadMs: 50,
};
