import type { ServerResponse } from "node:http";
import type { CallerFault } from "./CallerFault.js";
import { faultBody } from "./faultBody.js";

/** Answers with an error. Does nothing when the head of another answer has been sent already. */
export function sendFault(response: ServerResponse, fault: CallerFault, requestId: string, closesConnection: boolean): void {
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
    response.end(faultBody(fault, requestId));
}
