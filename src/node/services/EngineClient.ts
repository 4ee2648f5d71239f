import type { ResultAsync } from "neverthrow";
import type { Upstream } from "../../schema/config/Upstream.js";
import type { EngineRequest } from "./EngineRequest.js";
import type { EngineStream } from "./EngineStream.js";
import type { UpstreamError } from "./UpstreamError.js";

/** Sends completion requests to model engines. Only the folder of the implementation depends on the engines' wire format. */
export interface EngineClient {
    /** Resolves when the engine has accepted the request; the completion follows on the stream. */
    open(upstream: Upstream, request: EngineRequest, signal: AbortSignal): ResultAsync<EngineStream, UpstreamError>;
}
