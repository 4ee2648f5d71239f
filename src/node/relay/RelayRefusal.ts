import type { Outcome } from "../../schema/Outcome.js";

/** An error response that this VM generates itself instead of forwarding an upstream's. */
export interface RelayRefusal {
    readonly status: 400 | 401 | 404 | 408 | 413 | 431 | 502 | 503 | 504;
    readonly reason: string;
    readonly outcome: Outcome;
    readonly message: string;
    readonly retryAfterMs?: number;
}
