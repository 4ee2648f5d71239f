import type { Outcome } from "../../schema/Outcome.js";

interface CallerFaultOptions {
    readonly status: number;
    /** Stable name of the fault, for programs. */
    readonly code: string;
    readonly outcome: Outcome;
    readonly retryAfterMs?: number | undefined;
}

/** What a caller is told when its request fails. The message names the remedy and repeats nothing of the request. */
export class CallerError extends Error {
    readonly status: number;
    readonly code: string;
    readonly outcome: Outcome;
    readonly retryAfterMs: number | undefined;

    constructor(options: CallerFaultOptions, message: string) {
        super(message);
        this.status = options.status;
        this.code = options.code;
        this.outcome = options.outcome;
        this.retryAfterMs = options.retryAfterMs;
    }
}
