import type { Result } from "neverthrow";
import type { UpstreamError } from "./UpstreamError.js";

/** The open response stream of an engine. */
export interface EngineStream {
    readonly upstreamId: string;
    /** Tokens of the whole completion received so far, including those before a resume point and those not yet relayed. */
    readonly receivedTokens: number;
    /**
     * Passes each chunk of the response to `onEvents`: complete server-sent events as the engine sent them, and the number of new tokens
     * in them. A returned promise applies backpressure: the engine is paused until it settles. Resolves when the response is complete or
     * the stream has failed. Takes a callback because an async iterator would allocate a promise for each token.
     */
    relay(onEvents: (events: Buffer, tokenCount: number) => Promise<void> | undefined): Promise<Result<void, UpstreamError>>;
}
