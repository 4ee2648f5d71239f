import type { ResultAsync } from "neverthrow";
import type { Upstream } from "../../schema/config/Upstream.js";
import type { EngineRequest } from "./EngineRequest.js";
import type { EngineStream } from "./EngineStream.js";
import type { UpstreamError } from "./UpstreamError.js";

/** Sends completions to model engines. The wire format is known to one folder only. */
export interface EngineClient {
    open(upstream: Upstream, request: EngineRequest, signal: AbortSignal): ResultAsync<EngineStream, UpstreamError>;
}
