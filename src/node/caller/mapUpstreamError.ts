import type { Outcome } from "../../schema/Outcome.js";
import type { UpstreamError } from "../services/UpstreamError.js";
import { CallerError } from "./CallerError.js";

const retryAfterMs = 1_000;

/** Maps the error of the last attempt to the error response. `mayHaveRun` covers all attempts. */
export function mapUpstreamError(error: UpstreamError, mayHaveRun: boolean): CallerError {
    const outcome: Outcome = mayHaveRun ? "unknown" : "not-run";
    switch (error.kind) {
        case "refused":
            return new CallerError({ status: mapRefusalStatus(error.status), code: "upstream_refused", outcome }, error.message);
        case "silent":
            return new CallerError({ status: 504, code: "upstream_silent", outcome }, error.message);
        case "cancelled":
            return new CallerError({ status: 499, code: "cancelled", outcome }, error.message);
        case "not-sent":
        case "draining":
            return new CallerError({ status: 503, code: "upstream_unavailable", outcome, retryAfterMs }, error.message);
        case "broken":
            return new CallerError({ status: 502, code: "upstream_broken", outcome }, error.message);
    }
}

function mapRefusalStatus(status: number | undefined): number {
    return status !== undefined && status >= 400 && status < 500 ? status : 503;
}
