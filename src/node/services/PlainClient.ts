import type { ResultAsync } from "neverthrow";
import type { Upstream } from "../../schema/config/Upstream.js";
import type { PlainRequest } from "./PlainRequest.js";
import type { PlainResponse } from "./PlainResponse.js";
import type { UpstreamError } from "./UpstreamError.js";

/** Sends calls to plain services: HTTP upstreams that are not model engines. */
export interface PlainClient {
    /** Resolves with the response head; the response body follows as a stream. */
    send(upstream: Upstream, request: PlainRequest, signal: AbortSignal): ResultAsync<PlainResponse, UpstreamError>;
}
