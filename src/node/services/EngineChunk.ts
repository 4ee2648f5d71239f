/** One piece of a streamed answer. Iteration throws an `EngineError` when the stream breaks before `finishReason`. */
export interface EngineChunk {
    /** Index of the first token of this chunk in the whole answer. */
    readonly tokenIndex: number;
    readonly tokenCount: number;
    readonly text: string;
    readonly finishReason: string | undefined;
    readonly cachedPromptTokens: number | undefined;
}
