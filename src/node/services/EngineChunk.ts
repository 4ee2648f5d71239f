/** One piece of a streamed answer. Iteration throws an `EngineError` when the stream breaks before its last chunk. */
export interface EngineChunk {
    /** Index of the first token of this chunk in the whole answer. */
    readonly tokenIndex: number;
    readonly tokenCount: number;
    /** Whole server-sent events as the engine wrote them, to be passed on unchanged. */
    readonly events: Buffer;
    /** Decoded from `events` on each access; the relay of a streamed answer does not touch the next three. */
    readonly text: string;
    readonly finishReason: string | undefined;
    readonly cachedPromptTokens: number | undefined;
}
