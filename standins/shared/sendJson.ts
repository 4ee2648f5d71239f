import type { ServerResponse } from "node:http";

/** Sends `value` as a JSON response and ends the response. */
export function sendJson(response: ServerResponse, status: number, value: unknown, headers: Record<string, string> = {}): void {
    response.writeHead(status, { "content-type": "application/json", ...headers });
    response.end(JSON.stringify(value));
}
