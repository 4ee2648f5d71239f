import type { ServerResponse } from "node:http";

/** Answers with a JSON value. */
export function sendJson(response: ServerResponse, status: number, value: unknown, headers: Record<string, string> = {}): void {
    response.writeHead(status, { "content-type": "application/json", ...headers });
    response.end(JSON.stringify(value));
}
