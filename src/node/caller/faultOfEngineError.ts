import type { Outcome } from "../../schema/Outcome.js";
import type { EngineError } from "../services/EngineError.js";
import { CallerFault } from "./CallerFault.js";

const retryAfterMs = 1_000;

/** What the caller is told when the last attempt failed. `mayHaveRun` covers all attempts. */
export function faultOfEngineError(error: EngineError, mayHaveRun: boolean): CallerFault {
    const outcome: Outcome = mayHaveRun ? "unknown" : "not-run";
    switch (error.kind) {
        case "refused":
            return new CallerFault({ status: requestFaultStatus(error.status), code: "upstream_refused", outcome }, error.message);
        case "silent":
            return new CallerFault({ status: 504, code: "upstream_silent", outcome }, error.message);
        case "cancelled":
            return new CallerFault({ status: 499, code: "cancelled", outcome }, error.message);
        case "not-sent":
        case "draining":
            return new CallerFault({ status: 503, code: "upstream_unavailable", outcome, retryAfterMs }, error.message);
        case "broken":
            return new CallerFault({ status: 502, code: "upstream_broken", outcome }, error.message);
    }
}

function requestFaultStatus(status: number | undefined): number {
    return status !== undefined && status >= 400 && status < 500 ? status : 503;
}
