import type { ResultAsync } from "neverthrow";
import type { Admission } from "../services/Admission.js";
import type { CallDependencies } from "./CallDependencies.js";
import { CallerError } from "./CallerError.js";
import type { CallerRequest } from "./CallerRequest.js";
import { recordDecision } from "./recordDecision.js";

/** Holds a request against its customer's limits; the fault tells the caller which one it is over. */
export function admitCall(parts: CallDependencies, request: CallerRequest, estimatedTokens: number): ResultAsync<Admission, CallerError> {
    return parts.limits.acquire(request.customer, estimatedTokens).mapErr(({ kind, retryAfterMs }) => {
        recordDecision(parts, request, "limited", { limit: kind, retryAfterMs });
        return new CallerError(
            { status: 429, code: "customer_limit", outcome: "not-run", retryAfterMs },
            `over the limit of ${kind}; send less or ask the operator for more`,
        );
    });
}
