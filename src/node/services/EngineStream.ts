import type { Result } from "neverthrow";
import type { UpstreamError } from "./UpstreamError.js";

/** An open answer of an engine. */
export interface EngineStream {
    readonly upstreamId: string;
    /** Tokens of the whole answer that have arrived, those not yet read included. */
    readonly receivedTokens: number;
    /**
     * Passes each piece of the answer to `onEvents`: whole server-sent events as the engine wrote them, and how many new tokens they carry.
     * A returned promise holds the engine back until it settles. Resolves when the answer is whole or the stream has broken.
     * A callback, not an iterator, so that a token costs no promise.
     */
    relay(onEvents: (events: Buffer, tokenCount: number) => Promise<void> | undefined): Promise<Result<void, UpstreamError>>;
}
