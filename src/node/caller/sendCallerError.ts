import type { ServerResponse } from "node:http";
import type { CallerError } from "./CallerError.js";
import { formatErrorBody } from "./formatErrorBody.js";

/** Answers with an error. Does nothing when the head of another answer has been sent already. */
export function sendCallerError(response: ServerResponse, fault: CallerError, requestId: string, closesConnection: boolean): void {
    if (response.headersSent || response.destroyed) {
        return;
    }
    const headers: Record<string, string> = {
        "content-type": "application/json",
        "x-request-id": requestId,
        "x-orioleshelf-outcome": fault.outcome,
    };
    if (fault.retryAfterMs !== undefined) {
        headers["retry-after"] = String(Math.ceil(fault.retryAfterMs / 1000));
        headers["retry-after-ms"] = String(Math.ceil(fault.retryAfterMs));
    }
    if (fault.outcome !== "not-run") {
        // OpenAI clients repeat a call after a 5xx unless told otherwise.
        headers["x-should-retry"] = "false";
    }
    if (closesConnection) {
        headers["connection"] = "close";
    }
    response.writeHead(fault.status, headers);
    response.end(formatErrorBody(fault, requestId));
}
