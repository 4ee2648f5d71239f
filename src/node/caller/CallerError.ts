import type { Outcome } from "../../schema/Outcome.js";

interface CallerErrorOptions {
    readonly status: number;
    /** Stable, machine-readable error code. */
    readonly code: string;
    readonly outcome: Outcome;
    readonly retryAfterMs?: number | undefined;
}

/** An error response to a caller. The message says how to remedy the error and quotes nothing from the request. */
export class CallerError extends Error {
    readonly status: number;
    readonly code: string;
    readonly outcome: Outcome;
    readonly retryAfterMs: number | undefined;

    constructor(options: CallerErrorOptions, message: string) {
        super(message);
        this.status = options.status;
        this.code = options.code;
        this.outcome = options.outcome;
        this.retryAfterMs = options.retryAfterMs;
    }
}
