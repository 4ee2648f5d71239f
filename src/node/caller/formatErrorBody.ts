import type { CallerError } from "./CallerError.js";

/** Formats an error as the JSON body that OpenAI clients parse, with the outcome and the request ID added. */
export function formatErrorBody(error: CallerError, requestId: string): string {
    return JSON.stringify({
        error: {
            message: error.message,
            type: mapStatusToErrorType(error.status),
            code: error.code,
            outcome: error.outcome,
            request_id: requestId,
        },
    });
}

function mapStatusToErrorType(status: number): string {
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
