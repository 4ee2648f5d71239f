import type { ResultAsync } from "neverthrow";
import type { Admission } from "../services/Admission.js";
import type { CallDependencies } from "./CallDependencies.js";
import { CallerError } from "./CallerError.js";
import type { CallerRequest } from "./CallerRequest.js";
import { recordDecision } from "./recordDecision.js";

/** Checks a request against its customer's limits. The error names the limit that is exceeded. */
export function admitCall(
    dependencies: CallDependencies,
    request: CallerRequest,
    estimatedTokens: number,
): ResultAsync<Admission, CallerError> {
    return dependencies.limits.acquire(request.customer, estimatedTokens).mapErr(({ kind, retryAfterMs }) => {
        recordDecision(dependencies, request, "limited", { limit: kind, retryAfterMs });
        return new CallerError(
            { status: 429, code: "customer_limit", outcome: "not-run", retryAfterMs },
            `customer limit ${kind} exceeded; reduce the load or ask the operator for a higher limit`,
        );
    });
}
