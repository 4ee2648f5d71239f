import type { PromptWorkload } from "./PromptWorkload.js";

/** The calls with one kind of prompt that competing callers send. */
interface CompetingPrompts extends Omit<PromptWorkload, "timeoutMs" | "hotShare"> {
    /** How long a caller waits for its whole answer, retries included. */
    readonly timeLimitMs: number;
    readonly tier: number;
}

/** A simulated workload of several customers on the engines of one service, one of which is hot for a time. */
export interface CompetingWorkload {
    readonly seed: number;
    readonly durationMs: number;
    /** No calls begin from then on, so that all end within the duration. */
    readonly loadEndMs: number;
    readonly engineCount: number;
    readonly slowdownFactor: number;
    readonly engine: {
        readonly slots: number;
        readonly tokensPerEvent: number;
        readonly prefixCacheTokens: number;
        readonly tokensPerMs: number;
        readonly stepMs: number;
        readonly prefillChunkTokens: number;
    };
    readonly hot: { readonly customer: number; readonly fromMs: number; readonly untilMs: number; readonly factor: number; };
    readonly long: CompetingPrompts;
    readonly short: CompetingPrompts;
}
