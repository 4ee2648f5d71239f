import type { CallerError } from "./CallerError.js";

/** The error in the shape that OpenAI clients parse, with the outcome beside it. */
export function formatErrorBody(fault: CallerError, requestId: string): string {
    return JSON.stringify({
        error: { message: fault.message, type: faultType(fault.status), code: fault.code, outcome: fault.outcome, request_id: requestId },
    });
}

function faultType(status: number): string {
    switch (status) {
        case 401:
            return "authentication_error";
        case 403:
            return "permission_error";
        case 429:
            return "rate_limit_error";
        default:
            return status < 500 ? "invalid_request_error" : "server_error";
    }
}
