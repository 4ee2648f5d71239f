import type { ResultAsync } from "neverthrow";
import type { Upstream } from "../../schema/config/Upstream.js";
import type { EngineError } from "./EngineError.js";
import type { EngineRequest } from "./EngineRequest.js";
import type { EngineStream } from "./EngineStream.js";

/** Sends completions to model engines. The wire format is known to one folder only. */
export interface EngineClient {
    open(upstream: Upstream, request: EngineRequest, signal: AbortSignal): ResultAsync<EngineStream, EngineError>;
}
