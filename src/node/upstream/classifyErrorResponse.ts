import type { IncomingHttpHeaders } from "node:http";
import { confirmsNotRun } from "./confirmsNotRun.js";
import { ThrownUpstreamError } from "./ThrownUpstreamError.js";

const maxMessageCharacters = 500;

/** The failure that an engine's answer other than 200 stands for. Only an engine that says so, or finds fault with the request, did nothing. */
export function classifyErrorResponse(status: number, headers: IncomingHttpHeaders, body: string): ThrownUpstreamError {
    const { type, message } = readError(body);
    if (type === "leaving" && confirmsNotRun(headers)) {
        return new ThrownUpstreamError("draining", status, "engine is leaving and takes no work");
    }
    const isRequestFault = status >= 400 && status < 500 && status !== 408 && status !== 429;
    if (isRequestFault || confirmsNotRun(headers)) {
        return new ThrownUpstreamError("refused", status, message);
    }
    return new ThrownUpstreamError("broken", status, `engine answered ${status}: ${message}`);
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
