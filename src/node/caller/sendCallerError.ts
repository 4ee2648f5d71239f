import type { ServerResponse } from "node:http";
import type { CallerError } from "./CallerError.js";
import { formatErrorBody } from "./formatErrorBody.js";

/** Sends an error response. Does nothing if response headers have already been sent or the connection is closed. */
export function sendCallerError(response: ServerResponse, error: CallerError, requestId: string, closesConnection: boolean): void {
    if (response.headersSent || response.destroyed) {
        return;
    }
    const headers: Record<string, string> = {
        "content-type": "application/json",
        "x-request-id": requestId,
        "x-orioleshelf-outcome": error.outcome,
    };
    if (error.retryAfterMs !== undefined) {
        headers["retry-after"] = String(Math.ceil(error.retryAfterMs / 1000));
        headers["retry-after-ms"] = String(Math.ceil(error.retryAfterMs));
    }
    if (error.outcome !== "not-run") {
        // OpenAI clients retry a call after a 5xx response unless this header forbids it.
        headers["x-should-retry"] = "false";
    }
    if (closesConnection) {
        headers["connection"] = "close";
    }
    response.writeHead(error.status, headers);
    response.end(formatErrorBody(error, requestId));
}
