import type { IncomingHttpHeaders } from "node:http";
import { confirmsNotRun } from "./confirmsNotRun.js";
import { ThrownUpstreamError } from "./ThrownUpstreamError.js";

const maxMessageCharacters = 500;

/**
 * Maps an engine response with a status other than 200 to an error. The request counts as not run only when the engine confirms
 * this or rejects the request itself (4xx other than 408 and 429).
 */
export function classifyErrorResponse(status: number, headers: IncomingHttpHeaders, body: string): ThrownUpstreamError {
    const { type, message } = readError(body);
    if (type === "leaving" && confirmsNotRun(headers)) {
        return new ThrownUpstreamError("draining", status, "engine is draining and accepts no requests");
    }
    const isClientError = status >= 400 && status < 500 && status !== 408 && status !== 429;
    if (isClientError || confirmsNotRun(headers)) {
        return new ThrownUpstreamError("refused", status, message);
    }
    return new ThrownUpstreamError("broken", status, `engine responded with status ${status}: ${message}`);
}

function readError(body: string): { type: string | undefined; message: string; } {
    try {
        const parsed = JSON.parse(body) as { error?: { type?: unknown; message?: unknown; }; };
        const message = String(parsed.error?.message ?? "no reason given").slice(0, maxMessageCharacters);
        return { type: typeof parsed.error?.type === "string" ? parsed.error.type : undefined, message };
    }
    catch {
        return { type: undefined, message: "no reason given" };
    }
}
