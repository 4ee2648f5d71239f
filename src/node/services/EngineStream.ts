import type { EngineChunk } from "./EngineChunk.js";

/** An open answer of an engine. Iterating applies back-pressure; leaving the loop cancels the stream on the engine. */
export interface EngineStream extends AsyncIterable<EngineChunk> {
    readonly upstreamId: string;
    /** Tokens of the whole answer that have arrived, those not yet read included. */
    readonly receivedTokens: number;
}
