import type { ServerResponse } from "node:http";
import type { RelayDialect } from "./RelayDialect.js";
import type { RelayRefusal } from "./RelayRefusal.js";

/** Sends a refusal to the caller as a JSON error. Does nothing when a response head has been sent or the connection is closed. */
export function sendRefusal(response: ServerResponse, refusal: RelayRefusal, requestId: string | undefined, dialect: RelayDialect): void {
    if (response.headersSent || response.destroyed) {
        return;
    }
    const { status, reason, outcome, message, retryAfterMs } = refusal;
    const text = JSON.stringify({ error: { code: reason, message, outcome, request_id: requestId } });
    response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
        ...(retryAfterMs === undefined ? {} : dialect.buildRetryAfterHeaders(retryAfterMs)),
    });
    response.end(text);
}
